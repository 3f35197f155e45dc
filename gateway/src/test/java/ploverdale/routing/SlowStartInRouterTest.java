package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.model.Endpoint.EndpointState;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestId;

/** Slow start of a server that restarted, as seen through the router. */
class SlowStartInRouterTest {
    private final RouterDriver host = RouterDriver.settled();

    @Test
    void manySmallGatewaysTogetherSendAWarmingServerOnlyItsPart() {
        int cold = 0;
        for (int i = 0; i < 100; i++) {
            RouterDriver small = new RouterDriver(ReplicaGuarantees.StalenessCheck.NONE, false, true, 100 + i);
            small.list(true, "r1", "r2");
            small.levelled("r1", "r2");
            small.ends(small.ask(RouterDriver.HISTORY), 0, "r2", Outcome.SUCCEEDED, null);
            small.listed("r1", EndpointState.IN, small.nowMs);
            for (int s = 0; s < 4; s++) {
                RequestId read = small.ask(RouterDriver.HISTORY);
                cold += small.sends(read).contains("r1") ? 1 : 0;
                small.nowMs += 250;
            }
        }
        assertThat(cold).isBetween(1, 50);
    }

    @Test
    void aWarmingServerGetsFewRequests() {
        host.listed("r1", EndpointState.IN, host.nowMs);
        int cold = 0;
        for (int i = 0; i < 12; i++) {
            cold += host.sends(host.ask(RouterDriver.HISTORY)).contains("r1") ? 1 : 0;
        }
        assertThat(cold).isLessThanOrEqualTo(4);
    }

    @Test
    void aServerReadmittedAfterALongOutageIsWarmingUpBeforeTheEndpointListSaysSo() {
        host.unanswered("r1");
        host.unanswered("r1");
        host.nowMs += 5000;
        host.levelled("p", "r1", "r2");
        int cold = 0;
        for (int i = 0; i < 12; i++) {
            cold += host.sends(host.ask(RouterDriver.HISTORY)).contains("r1") ? 1 : 0;
        }
        assertThat(cold).isLessThanOrEqualTo(1);
    }

    @Test
    void aServerFirstSeenLateIsWarmWhereTheEndpointListSaysThatItStartedLongAgo() {
        RouterDriver fresh = new RouterDriver();
        fresh.list(true, "r1");
        fresh.unanswered("r1");
        fresh.unanswered("r1");
        fresh.nowMs += 5000;
        fresh.probed("r1", Role.REPLICA, fresh.nowMs);
        for (int i = 0; i < 12; i++) {
            RequestId read = fresh.ask(RouterDriver.HISTORY);
            assertThat(fresh.sends(read)).as("read " + i).containsExactly("r1");
            fresh.ends(read, 0, "r1", Outcome.SUCCEEDED, RouterDriver.report(Role.REPLICA, fresh.nowMs));
        }
    }
}
