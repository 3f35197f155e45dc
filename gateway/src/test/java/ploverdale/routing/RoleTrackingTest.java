package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.RequestId;

/** Which member of a group is taken for its primary, as seen through the router. */
class RoleTrackingTest {
    private final RouterDriver host = RouterDriver.settled();

    @Test
    void aMisdirectedWriteDemotesThatMemberAndWaitsForHealthChecks() {
        RequestId write = host.ask(RouterDriver.SUBMIT);
        host.ends(write, 0, "p", Outcome.MISDIRECTED, null);
        assertThat(host.sends(write)).hasSize(1);
        host.nowMs += 400;
        host.probed("r2", Role.PRIMARY, host.nowMs);
        assertThat(host.sends(write)).containsExactly("p", "r2");
    }

    @Test
    void aReportOfThePrimaryRoleIsIgnoredRightAfterAMisdirectedWrite() {
        RequestId read = host.ask(RouterDriver.FRESH);
        RequestId write = host.ask(RouterDriver.SUBMIT);
        host.ends(write, 0, "p", Outcome.MISDIRECTED, null);
        host.nowMs += 20;
        host.ends(
                read,
                0,
                "p",
                Outcome.SUCCEEDED,
                RouterDriver.report(Role.PRIMARY, host.nowMs)); // as it still calls itself
        assertThat(host.sends(write)).containsExactly("p");
        host.nowMs += 150;
        host.probed("p", Role.PRIMARY, host.nowMs);
        assertThat(host.sends(write)).containsExactly("p", "p");
    }

    @Test
    void anOutdatedReportDoesNotRestoreAFormerPrimary() {
        host.ends(host.ask(RouterDriver.SUBMIT), 0, "p", Outcome.MISDIRECTED, null);
        host.nowMs += 100;
        host.probed("p", Role.PRIMARY, host.nowMs - 200);
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).isEmpty();
    }
}
