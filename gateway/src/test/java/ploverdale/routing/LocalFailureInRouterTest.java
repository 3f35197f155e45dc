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
        RouterDriver h = RouterDriver.settled();
        for (int i = 0; i < MANY; i++) {
            h.pass(500);
            h.tell(new Event.HealthCheckEnded(new ServerId("r1"), Outcome.NEVER_SENT, null));
        }
        assertThat(h.logged("server r1 silent")).isFalse();
    }

    @Test
    void healthChecksThatWereSentAndNotAnsweredStillDo() {
        RouterDriver h = RouterDriver.settled();
        h.pass(500);
        h.unanswered("r1");
        h.unanswered("r1");
        assertThat(h.logged("server r1 silent")).isTrue();
    }

    @Test
    void aHealthCheckThatWasNeverSentLeavesASilentServersBackoffAsItIs() {
        RouterDriver h = RouterDriver.settled();
        h.pass(500);
        h.unanswered("r1");
        h.unanswered("r1");
        long before = h.probes("r1");
        h.pass(2000); // silent servers are asked again while others of their group are used
        for (int i = 0; i < MANY; i++) {
            h.tell(new Event.HealthCheckEnded(new ServerId("r1"), Outcome.NEVER_SENT, null));
            h.pass(20);
        }
        assertThat(h.probes("r1") - before).as("not asked in a busy loop").isLessThan(MANY / 2);
    }

    @Test
    void attemptsThatWereNeverSentEjectNoServer() {
        RouterDriver h = RouterDriver.settled();
        for (int i = 0; i < MANY; i++) {
            RequestId request = h.ask(RouterDriver.HISTORY);
            for (int send = 0; send < h.sends(request).size(); send++) {
                h.ends(request, send, h.sends(request).get(send), Outcome.NEVER_SENT, null);
            }
            h.pass(100);
        }
        assertThat(h.logged("silent")).isFalse();
    }
}
