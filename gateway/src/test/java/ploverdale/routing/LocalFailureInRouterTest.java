package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;

/** What the router concludes from attempts and health checks that never left this machine: nothing about their servers. */
class LocalFailureInRouterTest {
    private static final int MANY = 20;

    @Test
    void healthChecksThatWereNeverSentEjectNoServer() {
        RouterDriver h = RouterDriver.withCaughtUpReplicas();
        for (int i = 0; i < MANY; i++) {
            h.advance(500);
            h.deliver(new Event.HealthCheckEnded(new ServerId("r1"), Outcome.NEVER_SENT, null));
        }
        assertThat(h.logged("server r1 silent")).isFalse();
    }

    @Test
    void healthChecksThatWereSentAndNotAnsweredStillDo() {
        RouterDriver h = RouterDriver.withCaughtUpReplicas();
        h.advance(500);
        h.healthCheckTimedOut("r1");
        h.healthCheckTimedOut("r1");
        assertThat(h.logged("server r1 silent")).isTrue();
    }

    @Test
    void aHealthCheckThatWasNeverSentLeavesASilentServersBackoffAsItIs() {
        RouterDriver h = RouterDriver.withCaughtUpReplicas();
        h.advance(500);
        h.healthCheckTimedOut("r1");
        h.healthCheckTimedOut("r1");
        long before = h.healthChecks("r1");
        h.advance(2000); // silent servers are asked again while others of their group are used
        for (int i = 0; i < MANY; i++) {
            h.deliver(new Event.HealthCheckEnded(new ServerId("r1"), Outcome.NEVER_SENT, null));
            h.advance(20);
        }
        assertThat(h.healthChecks("r1") - before).as("not asked in a busy loop").isLessThan(MANY / 2);
    }

    @Test
    void attemptsThatWereNeverSentEjectNoServer() {
        RouterDriver h = RouterDriver.withCaughtUpReplicas();
        for (int i = 0; i < MANY; i++) {
            RequestId request = h.request(TestRouterSettings.UNBOUNDED_READ);
            for (int send = 0; send < h.attempts(request).size(); send++) {
                h.attemptEnded(request, send, h.attempts(request).get(send), Outcome.NEVER_SENT, null);
            }
            h.advance(100);
        }
        assertThat(h.logged("silent")).isFalse();
    }
}
