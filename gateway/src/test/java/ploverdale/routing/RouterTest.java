package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;

/** Tests that the router is deterministic and ignores events about unknown servers and requests. */
class RouterTest {
    private final RouterDriver driver = RouterDriver.withCaughtUpReplicas();

    @Test
    void eventsAboutUnknownServersAndRequestsChangeNothing() {
        int before = driver.actions.size();
        driver.deliver(new Event.GossipReceived(3, new byte[] {104, 105}));
        driver.deliver(new Event.HealthCheckEnded(
                new ServerId("unknown"), Outcome.SUCCEEDED, RouterDriver.report(Role.PRIMARY, driver.nowMs)));
        driver.attemptEnded(new RequestId("unknown"), 0, "unknown", Outcome.SUCCEEDED, null);
        driver.deliver(new Event.ClientDisconnected(new RequestId("unknown")));
        assertThat(driver.actions).hasSize(before);
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE))).containsExactly("p");
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        List<RouterDriver> drivers = List.of(RouterDriver.withCaughtUpReplicas(), RouterDriver.withCaughtUpReplicas());
        for (RouterDriver eachDriver : drivers) {
            for (int i = 0; i < 20; i++) {
                eachDriver.request(i % 6);
            }
            eachDriver.advance(500);
        }
        assertThat(drivers.get(0).actions)
                .hasSizeGreaterThan(20)
                .isEqualTo(drivers.get(1).actions);
    }
}
