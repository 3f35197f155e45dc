package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.model.Action;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestId;

/** Tests through the router which replicas are fresh enough for a read. */
class StalenessFilterTest {
    private final RouterDriver driver = RouterDriver.withCaughtUpReplicas();

    @Test
    void aReplicaBeyondTheBoundGetsNoBoundedReadsButStillUnboundedOnes() {
        driver.nowMs += 400;
        driver.healthCheckSucceeded("r1", Role.REPLICA, driver.nowMs);
        driver.nowMs += 150;
        for (int i = 0; i < 5; i++) {
            assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                    .containsExactly("r1");
        }
        assertThat(driver.attempts(driver.request(TestRouterSettings.UNBOUNDED_READ)))
                .containsExactly("r2");
    }

    @Test
    void whereReplicasCheckStalenessASlightlyLaggingOneIsPreferredUntilItRejectsARead() {
        RouterDriver checked =
                new RouterDriver(new TestRouterSettings().stalenessCheck(ReplicaGuarantees.StalenessCheck.WAITS));
        checked.updateEndpoints(true, "p", "r1");
        checked.catchUp("p", "r1");
        checked.nowMs += 560;
        RequestId read = checked.request(TestRouterSettings.BOUNDED_READ);
        checked.nowMs += 50;
        checked.attemptEnded(
                read, 0, "r1", Outcome.MISDIRECTED, RouterDriver.report(Role.REPLICA, checked.nowMs - 700));
        assertThat(checked.attempts(read)).startsWith("r1");
        assertThat(checked.attempts(checked.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("p");
    }

    @Test
    void whereReplicasCheckStalenessOneReadASecondIsSentDespiteOutdatedReports() {
        RouterDriver checked =
                new RouterDriver(new TestRouterSettings().stalenessCheck(ReplicaGuarantees.StalenessCheck.WAITS));
        checked.updateEndpoints(true, "r1");
        checked.healthCheckSucceeded("r1", Role.REPLICA, checked.nowMs - 5200);
        RequestId guess = checked.request(TestRouterSettings.BOUNDED_READ);
        assertThat(checked.attempts(guess)).containsExactly("r1");
        assertThat(checked.rejections(checked.request(TestRouterSettings.BOUNDED_READ)))
                .isEqualTo(1);
        checked.nowMs += 50;
        checked.attemptEnded(guess, 0, "r1", Outcome.SUCCEEDED, RouterDriver.report(Role.REPLICA, checked.nowMs - 10));
        assertThat(checked.attempts(checked.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("r1");
    }

    @Test
    void sessionReadsSeeTheSessionsWrites() {
        RequestId write = driver.request(TestRouterSettings.WRITE, "s", 0);
        driver.nowMs += 100;
        driver.attemptEnded(write, 0, "p", Outcome.SUCCEEDED, RouterDriver.report(Role.PRIMARY, driver.nowMs));
        assertThat(driver.attempts(driver.request(TestRouterSettings.SESSION_READ, "s", 0)))
                .containsExactly("p");
        assertThat(driver.attempts(driver.request(TestRouterSettings.SESSION_READ, "other", 0)))
                .isSubsetOf("r1", "r2")
                .hasSize(1);
        driver.healthCheckSucceeded("r1", Role.REPLICA, driver.nowMs + 1);
        assertThat(driver.attempts(driver.request(TestRouterSettings.SESSION_READ, "s", 0)))
                .containsExactly("r1");
    }

    @Test
    void aSessionTokenSetsTheBoundAndAZeroTokenAdmitsAnyReplica() {
        RouterDriver carried = new RouterDriver(new TestRouterSettings().sessionTokens());
        carried.updateEndpoints(true, "p", "r1");
        carried.catchUp("p", "r1");
        carried.nowMs += 100;
        assertThat(carried.attempts(carried.request(TestRouterSettings.SESSION_READ, "s", 50)))
                .containsExactly("p");
        assertThat(carried.attempts(carried.request(TestRouterSettings.SESSION_READ, "s", 0)))
                .containsExactly("r1");
        assertThat(carried.attempts(carried.request(TestRouterSettings.SESSION_READ, "s", 200)))
                .containsExactly("r1");
    }

    @Test
    void aBoundedReadAtAReplicaMustBeWrittenWhileThePositionFitsItsBound() {
        RouterDriver h = RouterDriver.withCaughtUpReplicas();
        h.advance(100); // r1 and r2 have reported nothing since
        RequestId read = h.request(TestRouterSettings.BOUNDED_READ);
        Action.StartAttempt s = h.actions.stream()
                .filter(a -> a instanceof Action.StartAttempt x && x.request().equals(read))
                .map(a -> (Action.StartAttempt) a)
                .findFirst()
                .orElseThrow();
        assertThat(s.server().text()).startsWith("r");
        assertThat(s.writeBy()).isEqualTo(100_000 * 10 - 10 + 5000); // a position is rounded down by a millisecond
        RequestId write = h.request(TestRouterSettings.WRITE);
        assertThat(h.actions.stream()
                        .filter(a -> a instanceof Action.StartAttempt x
                                && x.request().equals(write))
                        .map(a -> ((Action.StartAttempt) a).writeBy()))
                .containsExactly(Long.MAX_VALUE);
    }
}
