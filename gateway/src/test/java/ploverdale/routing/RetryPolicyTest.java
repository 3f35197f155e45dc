package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.model.Action;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.RequestId;

/** When a failed attempt is retried, and when its request fails, as seen through the router. */
class RetryPolicyTest {
    private final RouterDriver host = RouterDriver.settled();

    @Test
    void whereSomeResponsesAreLostAnAttemptTimesOutBeforeTheLatencyObjective() {
        for (int i = 0; i < 40; i++) {
            RequestId request = host.ask(RouterDriver.SUBMIT);
            host.ends(request, 0, "p", i % 4 == 0 ? Outcome.TIMED_OUT : Outcome.SUCCEEDED, null);
        }
        RequestId read = host.ask(RouterDriver.FRESH);
        assertThat(host.acts)
                .anyMatch(a -> a instanceof Action.StartAttempt s && s.request().equals(read) && s.timeLimit() < 3500);
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT)))
                .as("and its limit is kept")
                .containsExactly("p");
    }

    @Test
    void aNonIdempotentWriteThatMayHaveRunFailsWithoutARetry() {
        RequestId write = host.ask(RouterDriver.SUBMIT);
        host.ends(write, 0, "p", Outcome.FAILED, null);
        assertThat(host.sends(write)).hasSize(1);
        assertThat(host.errorReplies(write)).isEqualTo(1);
        assertThat(host.busyReplies(write)).isZero();
    }

    @Test
    void aRejectedWriteIsRetriedAtThePrimaryWithBackoff() {
        RequestId write = host.ask(RouterDriver.SUBMIT);
        host.ends(write, 0, "p", Outcome.REJECTED, null);
        assertThat(host.sends(write)).as("not at once, while it is as full").containsExactly("p");
        assertThat(host.busyReplies(write)).isZero();
        host.pass(120);
        assertThat(host.sends(write)).containsExactly("p", "p");
        host.ends(write, 1, "p", Outcome.REJECTED, null);
        host.pass(120);
        assertThat(host.sends(write)).as("ever more seldom").hasSize(2);
    }

    @Test
    void aWriteWithAnIdempotencyKeyIsRetriedWithinItsWindowAndFailsAfterIt() {
        RequestId write = host.ask(RouterDriver.WITH_IDEMPOTENCY_KEY);
        host.ends(write, 0, "p", Outcome.FAILED, null);
        assertThat(host.sends(write)).containsExactly("p", "p");
        host.nowMs += 2000;
        host.ends(write, 1, "p", Outcome.FAILED, null);
        assertThat(host.sends(write)).hasSize(2);
        assertThat(host.errorReplies(write)).isEqualTo(1);
    }

    @Test
    void aRequestWhoseClientDisconnectedIsCancelledAndNotRetried() {
        RequestId read = host.ask(RouterDriver.VIEW);
        String server = host.sends(read).get(0);
        host.tell(new Event.ClientDisconnected(read));
        assertThat(host.calledOff(read)).isTrue();
        host.ends(read, 0, server, Outcome.CANCELLED, null);
        assertThat(host.sends(read)).hasSize(1);
        assertThat(host.busyReplies(read) + host.errorReplies(read)).isZero();
    }
}
