package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;

/** The router as a whole: deterministic, and unaffected by events about unknown subjects. */
class RouterTest {
    private final RouterDriver host = RouterDriver.settled();

    @Test
    void eventsAboutUnknownServersAndRequestsChangeNothing() {
        int before = host.acts.size();
        host.tell(new Event.GossipReceived(3, new byte[] {104, 105}));
        host.tell(new Event.HealthCheckEnded(
                new ServerId("stranger"), Outcome.SUCCEEDED, RouterDriver.report(Role.PRIMARY, host.nowMs)));
        host.ends(new RequestId("none"), 0, "stranger", Outcome.SUCCEEDED, null);
        host.tell(new Event.ClientDisconnected(new RequestId("none")));
        assertThat(host.acts).hasSize(before);
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).containsExactly("p");
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        List<RouterDriver> twins = List.of(RouterDriver.settled(), RouterDriver.settled());
        for (RouterDriver twin : twins) {
            for (int i = 0; i < 20; i++) {
                twin.ask(i % 6);
            }
            twin.pass(500);
        }
        assertThat(twins.get(0).acts).hasSizeGreaterThan(20).isEqualTo(twins.get(1).acts);
    }
}
