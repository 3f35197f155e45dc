package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ploverdale.model.Action;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;

/** Which requests are admitted, queued or shed while capacity is short, as seen through the router. */
class AdmissionTest {
    private final RouterDriver host = RouterDriver.settled();

    @Test
    void withoutAnEligibleReplicaThePrimaryTakesReadsUpToItsLimitAndFurtherOnesAreRejectedAtOnce() {
        host.lagging(1100);
        assertThat(host.sends(host.ask(RouterDriver.VIEW))).containsExactly("p");
        RequestId refused = null;
        for (int i = 0; i < 30; i++) {
            refused = host.ask(RouterDriver.VIEW);
        }
        RequestId last = refused;
        assertThat(host.sends(last)).isEmpty();
        assertThat(host.busyReplies(last)).isEqualTo(1);
        assertThat(host.acts)
                .filteredOn(
                        a -> a instanceof Action.RejectRequest b && b.request().equals(last))
                .allMatch(a -> ((Action.RejectRequest) a).retryAfter() < 5000, "a second try is still in time");
    }

    @Test
    void writesMayUseMoreOfThePrimarysLimitThanReads() {
        for (int i = 0; i < 40; i++) {
            assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).containsExactly("p");
        }
    }

    @Test
    void aServerThatReportsHighUtilizationGetsFewerReads() {
        RouterDriver small = new RouterDriver(ReplicaGuarantees.StalenessCheck.NONE, false, true, 100);
        small.list(true, "r1");
        small.tell(new Event.HealthCheckEnded(
                new ServerId("r1"), Outcome.SUCCEEDED, new LoadReport(Role.REPLICA, small.nowMs * 10, 1.1)));
        assertThat(small.sends(small.ask(RouterDriver.HISTORY))).isEmpty();
        small.nowMs += 200;
        small.tell(new Event.HealthCheckEnded(
                new ServerId("r1"), Outcome.SUCCEEDED, new LoadReport(Role.REPLICA, small.nowMs * 10, 0.5)));
        assertThat(small.sends(small.ask(RouterDriver.HISTORY))).containsExactly("r1");
    }

    @Test
    void longReadsAreShedFirstWhileRequestsOfHigherPriorityFindNoCapacity() {
        for (int i = 0; i < 25; i++) {
            RequestId scan = host.ask(RouterDriver.SCAN);
            host.nowMs += 100;
            host.tell(new Event.AttemptEnded(
                    scan, 0, new ServerId(host.sends(scan).get(0)), Outcome.SUCCEEDED, 9000, true, null, null));
        }
        host.lagging(1100);
        for (int i = 0; i < 60; i++) {
            host.ask(RouterDriver.VIEW);
        }
        assertThat(host.sends(host.ask(RouterDriver.SCAN)))
                .as("a replica that lags of itself takes one")
                .containsExactly("r1");
        RequestId scan = host.ask(RouterDriver.SCAN);
        assertThat(host.sends(scan)).isEmpty();
        assertThat(host.busyReplies(scan)).isEqualTo(1);
    }

    @Test
    void whileCapacityIsShortRequestsWithinTheTenantsQuotaGoBeforeThoseBeyondIt() {
        host.ends(host.ask(RouterDriver.SUBMIT), 0, "p", Outcome.MISDIRECTED, null);
        List<RequestId> asked = new ArrayList<>();
        for (int i = 0; i < 130; i++) {
            asked.add(host.ask(RouterDriver.SUBMIT));
        }
        host.nowMs += 400;
        host.probed("r1", Role.PRIMARY, host.nowMs);
        assertThat(asked.subList(0, 99))
                .filteredOn(request -> !host.sends(request).isEmpty())
                .isNotEmpty();
        assertThat(asked.subList(100, 130))
                .allMatch(request -> host.sends(request).isEmpty());
    }
}
