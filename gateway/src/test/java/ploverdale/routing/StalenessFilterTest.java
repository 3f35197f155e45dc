package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.model.Action;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestId;

/** Which replicas are current enough for a read, as seen through the router. */
class StalenessFilterTest {
    private final RouterDriver host = RouterDriver.settled();

    @Test
    void aReplicaBeyondTheBoundGetsNoBoundedReadsButStillUnboundedOnes() {
        host.nowMs += 400;
        host.probed("r1", Role.REPLICA, host.nowMs);
        host.nowMs += 150;
        for (int i = 0; i < 5; i++) {
            assertThat(host.sends(host.ask(RouterDriver.VIEW))).containsExactly("r1");
        }
        assertThat(host.sends(host.ask(RouterDriver.HISTORY))).containsExactly("r2");
    }

    @Test
    void whereReplicasCheckStalenessASlightlyLaggingOneIsPreferredUntilItRejectsARead() {
        RouterDriver checked = new RouterDriver(ReplicaGuarantees.StalenessCheck.WAITS, false, true, 1);
        checked.list(true, "p", "r1");
        checked.levelled("p", "r1");
        checked.nowMs += 560;
        RequestId read = checked.ask(RouterDriver.VIEW);
        checked.nowMs += 50;
        checked.ends(read, 0, "r1", Outcome.MISDIRECTED, RouterDriver.report(Role.REPLICA, checked.nowMs - 700));
        assertThat(checked.sends(read)).startsWith("r1");
        assertThat(checked.sends(checked.ask(RouterDriver.VIEW))).containsExactly("p");
    }

    @Test
    void whereReplicasCheckStalenessOneReadASecondIsSentDespiteOutdatedReports() {
        RouterDriver checked = new RouterDriver(ReplicaGuarantees.StalenessCheck.WAITS, false, true, 1);
        checked.list(true, "r1");
        checked.probed("r1", Role.REPLICA, checked.nowMs - 5200);
        RequestId guess = checked.ask(RouterDriver.VIEW);
        assertThat(checked.sends(guess)).containsExactly("r1");
        assertThat(checked.busyReplies(checked.ask(RouterDriver.VIEW))).isEqualTo(1);
        checked.nowMs += 50;
        checked.ends(guess, 0, "r1", Outcome.SUCCEEDED, RouterDriver.report(Role.REPLICA, checked.nowMs - 10));
        assertThat(checked.sends(checked.ask(RouterDriver.VIEW))).containsExactly("r1");
    }

    @Test
    void sessionReadsSeeTheSessionsWrites() {
        RequestId write = host.ask(RouterDriver.SUBMIT, "s", 0);
        host.nowMs += 100;
        host.ends(write, 0, "p", Outcome.SUCCEEDED, RouterDriver.report(Role.PRIMARY, host.nowMs));
        assertThat(host.sends(host.ask(RouterDriver.SESSION, "s", 0))).containsExactly("p");
        assertThat(host.sends(host.ask(RouterDriver.SESSION, "other", 0)))
                .isSubsetOf("r1", "r2")
                .hasSize(1);
        host.probed("r1", Role.REPLICA, host.nowMs + 1);
        assertThat(host.sends(host.ask(RouterDriver.SESSION, "s", 0))).containsExactly("r1");
    }

    @Test
    void aSessionTokenSetsTheBoundAndAZeroTokenAdmitsAnyReplica() {
        RouterDriver carried = new RouterDriver(ReplicaGuarantees.StalenessCheck.NONE, true, true, 1);
        carried.list(true, "p", "r1");
        carried.levelled("p", "r1");
        carried.nowMs += 100;
        assertThat(carried.sends(carried.ask(RouterDriver.SESSION, "s", 50))).containsExactly("p");
        assertThat(carried.sends(carried.ask(RouterDriver.SESSION, "s", 0))).containsExactly("r1");
        assertThat(carried.sends(carried.ask(RouterDriver.SESSION, "s", 200))).containsExactly("r1");
    }

    @Test
    void aBoundedReadAtAReplicaMustBeWrittenWhileThePositionFitsItsBound() {
        RouterDriver h = RouterDriver.settled();
        h.pass(100); // r1 and r2 stand where they stood then, but for what a probe told since
        RequestId read = h.ask(RouterDriver.VIEW);
        Action.StartAttempt s = h.acts.stream()
                .filter(a -> a instanceof Action.StartAttempt x && x.request().equals(read))
                .map(a -> (Action.StartAttempt) a)
                .findFirst()
                .orElseThrow();
        assertThat(s.server().text()).startsWith("r");
        assertThat(s.writeBy()).isEqualTo(100_000 * 10 - 10 + 5000); // a position is rounded down by a millisecond
        RequestId write = h.ask(RouterDriver.SUBMIT);
        assertThat(h.acts.stream()
                        .filter(a -> a instanceof Action.StartAttempt x
                                && x.request().equals(write))
                        .map(a -> ((Action.StartAttempt) a).writeBy()))
                .containsExactly(Long.MAX_VALUE);
    }
}
