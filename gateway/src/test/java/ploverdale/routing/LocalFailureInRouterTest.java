package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;

/**
 * Attempts and health checks that never left this machine must not change what the router knows about their servers.
 */
class LocalFailureInRouterTest {
    private static final int REPETITIONS = 20;

    @Test
    void healthChecksThatWereNeverSentEjectNoServer() {
        RouterDriver driver = RouterDriver.withCaughtUpReplicas();
        for (int i = 0; i < REPETITIONS; i++) {
            driver.advance(500);
            driver.deliver(new Event.HealthCheckEnded(new ServerId("r1"), Outcome.NEVER_SENT, null));
        }
        assertThat(driver.logged("server r1 silent")).isFalse();
    }

    @Test
    void healthChecksThatWereSentAndNotAnsweredEjectTheServer() {
        RouterDriver driver = RouterDriver.withCaughtUpReplicas();
        driver.advance(500);
        driver.healthCheckTimedOut("r1");
        driver.healthCheckTimedOut("r1");
        assertThat(driver.logged("server r1 silent")).isTrue();
    }

    @Test
    void aHealthCheckThatWasNeverSentLeavesAnEjectedServersBackoffAsItIs() {
        RouterDriver driver = RouterDriver.withCaughtUpReplicas();
        driver.advance(500);
        driver.healthCheckTimedOut("r1");
        driver.healthCheckTimedOut("r1");
        long before = driver.healthChecks("r1");
        driver.advance(2000); // ejected servers are checked again while other servers of their group are used
        for (int i = 0; i < REPETITIONS; i++) {
            driver.deliver(new Event.HealthCheckEnded(new ServerId("r1"), Outcome.NEVER_SENT, null));
            driver.advance(20);
        }
        assertThat(driver.healthChecks("r1") - before)
                .as("not checked in a busy loop")
                .isLessThan(REPETITIONS / 2);
    }

    @Test
    void attemptsThatWereNeverSentEjectNoServer() {
        RouterDriver driver = RouterDriver.withCaughtUpReplicas();
        for (int i = 0; i < REPETITIONS; i++) {
            RequestId request = driver.request(TestRouterSettings.UNBOUNDED_READ);
            for (int attempt = 0; attempt < driver.attempts(request).size(); attempt++) {
                driver.attemptEnded(request, attempt, driver.attempts(request).get(attempt), Outcome.NEVER_SENT, null);
            }
            driver.advance(100);
        }
        assertThat(driver.logged("silent")).isFalse();
    }
}
