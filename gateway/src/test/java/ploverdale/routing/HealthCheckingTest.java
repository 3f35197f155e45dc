package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.RequestId;

/** When servers are checked, as seen through the router. */
class HealthCheckingTest {
    private final RouterDriver driver = RouterDriver.withCaughtUpReplicas();

    @Test
    void aNewGatewayChecksHealthAtOnceAndQueuesABoundedReadUntilAPositionIsKnown() {
        RouterDriver fresh = new RouterDriver();
        fresh.updateEndpoints(true, "r1");
        assertThat(fresh.healthChecks("r1")).isEqualTo(1);
        RequestId read = fresh.request(TestRouterSettings.BOUNDED_READ);
        assertThat(fresh.attempts(read)).isEmpty();
        fresh.healthCheckSucceeded("r1", Role.REPLICA, fresh.nowMs - 100);
        assertThat(fresh.attempts(read)).containsExactly("r1");
    }

    @Test
    void anIdleGroupIsNotCheckedAndItsNextReadChecksOneMemberAndThenTheNext() {
        driver.advance(5000);
        long before = driver.healthChecks("r1") + driver.healthChecks("r2");
        driver.advance(5000);
        assertThat(driver.healthChecks("r1") + driver.healthChecks("r2")).isEqualTo(before);
        RequestId read = driver.request(TestRouterSettings.BOUNDED_READ);
        assertThat(driver.healthChecks("p") + driver.healthChecks("r1") + driver.healthChecks("r2"))
                .isEqualTo(before + 1 + 1);
        assertThat(driver.attempts(read)).isEmpty();
        driver.advance(100);
        driver.healthCheckSucceeded("r1", Role.REPLICA, driver.nowMs - 100);
        assertThat(driver.attempts(read)).containsExactly("r1");
    }

    @Test
    void unansweredFirstChecksAreRepeatedSoonUnlessOtherServersOfTheGroupAnswer() {
        RouterDriver fresh = new RouterDriver();
        fresh.updateEndpoints(true, "p", "r1");
        fresh.healthCheckTimedOut("p");
        fresh.healthCheckTimedOut("r1");
        RequestId write = fresh.request(TestRouterSettings.WRITE);
        fresh.advance(1000);
        assertThat(fresh.healthChecks("p") + fresh.healthChecks("r1")).isGreaterThan(2);
        fresh.healthCheckSucceeded("p", Role.PRIMARY, fresh.nowMs);
        assertThat(fresh.attempts(write)).containsExactly("p");
        fresh.updateEndpoints(false, "ghost");
        fresh.healthCheckTimedOut("ghost");
        fresh.advance(7000);
        assertThat(fresh.healthChecks("ghost")).isEqualTo(1);
    }

    @Test
    void theOnlyMemberOfAGroupIsCheckedWithoutBackoffWhenEjected() {
        RouterDriver cut = new RouterDriver();
        cut.updateEndpoints(true, "r1");
        cut.catchUp("r1");
        cut.nowMs += 3000;
        for (int i = 0; i < 6; i++) {
            cut.healthCheckTimedOut("r1");
        }
        cut.nowMs += 200;
        long before = cut.healthChecks("r1");
        cut.request(TestRouterSettings.UNBOUNDED_READ);
        assertThat(cut.healthChecks("r1")).isEqualTo(before + 1);
    }

    @Test
    void aServerWithoutOtherObservationsIsCheckedEachThirdOfTheTightestBound() {
        long before = driver.healthChecks("r1");
        for (int i = 0; i < 6; i++) {
            driver.advance(90);
            for (int j = 0; j < 15; j++) {
                driver.attemptEnded(driver.request(TestRouterSettings.FRESH_READ), 0, "p", Outcome.SUCCEEDED, null);
            }
            driver.request(TestRouterSettings.FRESH_READ);
            driver.advance(150);
            driver.catchUp("p", "r1", "r2");
        }
        assertThat(driver.healthChecks("r1") - before).isBetween(5L, 6L);
    }
}
