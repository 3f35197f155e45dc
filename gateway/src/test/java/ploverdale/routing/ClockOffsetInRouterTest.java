package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import ploverdale.model.Endpoint.EndpointState;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;

/** What the router does when the offset between the servers' wall clocks and its own time is corrected. */
class ClockOffsetInRouterTest {
    private static final long HOUR_MS = 3_600_000;

    private final RouterDriver driver = RouterDriver.withCaughtUpReplicas();

    /** Delivers a change of the clock offset with corrected start times, by server id. */
    private void offsetChanges(RouterDriver driver, Map<String, Long> startedMs) {
        Map<ServerId, Long> startedAt = new java.util.HashMap<>();
        startedMs.forEach((id, at) -> startedAt.put(new ServerId(id), at * 10));
        driver.deliver(new Event.ClockOffsetChanged(startedAt));
    }

    @Test
    void positionsReportedBeforeCountAsTooStaleUntilReportedAgain() {
        driver.healthCheckSucceeded("r1", Role.REPLICA, driver.nowMs);
        offsetChanges(driver, Map.of());
        RequestId read = driver.request(TestRouterSettings.BOUNDED_READ);
        assertThat(driver.attempts(read)).doesNotContain("r1", "r2");
        driver.nowMs += 200;
        driver.healthCheckSucceeded("r1", Role.REPLICA, driver.nowMs - 100);
        assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("r1");
    }

    @Test
    void writesAndReadsOfThePrimaryContinue() {
        offsetChanges(driver, Map.of());
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE))).containsExactly("p");
        assertThat(driver.attempts(driver.request(TestRouterSettings.FRESH_READ)))
                .containsExactly("p");
    }

    @Test
    void aSessionsWriteWithAWrongTimestampIsVisibleAtAReplicaThatIsCaughtUpToThePresent() {
        RouterDriver driver = new RouterDriver();
        driver.updateEndpoints(true, "p", "r1");
        driver.catchUp("p", "r1");
        RequestId write = driver.request(TestRouterSettings.WRITE, "s", 0);
        driver.attemptEnded(
                write,
                0,
                "p",
                Outcome.SUCCEEDED,
                new LoadReport(Role.PRIMARY, (driver.nowMs - HOUR_MS) * 10)); // an hour too early
        offsetChanges(driver, Map.of());
        driver.nowMs += 200;
        driver.healthCheckSucceeded("r1", Role.REPLICA, driver.nowMs - 300);
        assertThat(driver.attempts(driver.request(TestRouterSettings.SESSION_READ, "s", 0)))
                .containsExactly("p");
        driver.healthCheckSucceeded("r1", Role.REPLICA, driver.nowMs);
        assertThat(driver.attempts(driver.request(TestRouterSettings.SESSION_READ, "s", 0)))
                .containsExactly("r1");
    }

    @Test
    void aServerWhoseStartTimeWasTooLateIsPastSlowStartOnceItIsCorrected() {
        driver.updateEndpoint("r1", EndpointState.IN, driver.nowMs);
        offsetChanges(driver, Map.of("r1", driver.nowMs - HOUR_MS));
        driver.healthCheckSucceeded("r1", Role.REPLICA, driver.nowMs);
        int readsAtReplica = 0;
        for (int i = 0; i < 20; i++) { // r1 is the only server whose position is known
            readsAtReplica += driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ))
                            .contains("r1")
                    ? 1
                    : 0;
        }
        assertThat(readsAtReplica).isEqualTo(20);
    }

    @Test
    void aServerInSlowStartStaysSoWhenItsStartTimeIsConfirmed() {
        driver.updateEndpoint("r1", EndpointState.IN, driver.nowMs);
        offsetChanges(driver, Map.of("r1", driver.nowMs));
        driver.healthCheckSucceeded("r1", Role.REPLICA, driver.nowMs);
        int readsAtReplica = 0;
        for (int i = 0; i < 20; i++) {
            readsAtReplica += driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ))
                            .contains("r1")
                    ? 1
                    : 0;
        }
        assertThat(readsAtReplica).isLessThanOrEqualTo(1);
    }
}
