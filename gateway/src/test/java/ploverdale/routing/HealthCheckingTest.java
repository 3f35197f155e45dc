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
        RouterDriver newDriver = new RouterDriver();
        newDriver.updateEndpoints(true, "r1");
        assertThat(newDriver.healthChecks("r1")).isEqualTo(1);
        RequestId read = newDriver.request(TestRouterSettings.BOUNDED_READ);
        assertThat(newDriver.attempts(read)).isEmpty();
        newDriver.healthCheckSucceeded("r1", Role.REPLICA, newDriver.nowMs - 100);
        assertThat(newDriver.attempts(read)).containsExactly("r1");
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
        RouterDriver newDriver = new RouterDriver();
        newDriver.updateEndpoints(true, "p", "r1");
        newDriver.healthCheckTimedOut("p");
        newDriver.healthCheckTimedOut("r1");
        RequestId write = newDriver.request(TestRouterSettings.WRITE);
        newDriver.advance(1000);
        assertThat(newDriver.healthChecks("p") + newDriver.healthChecks("r1")).isGreaterThan(2);
        newDriver.healthCheckSucceeded("p", Role.PRIMARY, newDriver.nowMs);
        assertThat(newDriver.attempts(write)).containsExactly("p");
        newDriver.updateEndpoints(false, "ghost");
        newDriver.healthCheckTimedOut("ghost");
        newDriver.advance(7000);
        assertThat(newDriver.healthChecks("ghost")).isEqualTo(1);
    }

    @Test
    void theOnlyMemberOfAGroupIsCheckedWithoutBackoffWhenEjected() {
        RouterDriver driverOfOneServer = new RouterDriver();
        driverOfOneServer.updateEndpoints(true, "r1");
        driverOfOneServer.catchUp("r1");
        driverOfOneServer.nowMs += 3000;
        for (int i = 0; i < 6; i++) {
            driverOfOneServer.healthCheckTimedOut("r1");
        }
        driverOfOneServer.nowMs += 200;
        long before = driverOfOneServer.healthChecks("r1");
        driverOfOneServer.request(TestRouterSettings.UNBOUNDED_READ);
        assertThat(driverOfOneServer.healthChecks("r1")).isEqualTo(before + 1);
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
