package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.model.Endpoint.EndpointState;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ReplicaGuarantees;

/** What updates of the endpoint list change, as seen through the router. */
class EndpointUpdatesTest {
    private final RouterDriver host = RouterDriver.settled();

    @Test
    void anEmptyListRemovesNoServerWhereRemovalIsNotBinding() {
        RouterDriver loose = new RouterDriver(ReplicaGuarantees.StalenessCheck.NONE, false, false, 1);
        loose.list(true, "p", "r1");
        loose.levelled("p", "r1");
        loose.list(true);
        assertThat(loose.sends(loose.ask(RouterDriver.VIEW))).containsExactly("r1");
        assertThat(loose.sends(loose.ask(RouterDriver.SUBMIT))).containsExactly("p");
    }

    @Test
    void noNewAttemptGoesToADrainingOrRemovedServer() {
        host.listed("r1", EndpointState.DRAINING, 0);
        host.listed("r2", EndpointState.GONE, 0);
        host.listed("p", EndpointState.DRAINING, 0);
        assertThat(host.sends(host.ask(RouterDriver.HISTORY))).isEmpty();
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).isEmpty();
    }

    @Test
    void whereRemovalIsNotBindingAServerRemovedWithoutDrainingIsStillUsed() {
        RouterDriver loose = new RouterDriver(ReplicaGuarantees.StalenessCheck.NONE, false, false, 1);
        loose.list(true, "r1");
        loose.probed("r1", Role.REPLICA, loose.nowMs);
        loose.listed("r1", EndpointState.GONE, 0);
        assertThat(loose.sends(loose.ask(RouterDriver.VIEW))).containsExactly("r1");
    }
}
