package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import ploverdale.model.Action;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.RequestId;
import ploverdale.model.Ticks;
import ploverdale.model.WriteConditions;

/** Tests through the router when a failed attempt is retried and when its request fails. */
class RetryPolicyTest {
    private static final WriteConditions UNCONDITIONAL = new WriteConditions(Long.MAX_VALUE, false, false);

    private final RouterDriver driver = RouterDriver.withCaughtUpReplicas();

    @Test
    void ifSomeResponsesAreLostAnAttemptTimesOutBeforeTheLatencyObjective() {
        for (int i = 0; i < 40; i++) {
            RequestId request = driver.request(TestRouterSettings.WRITE);
            driver.attemptEnded(request, 0, "p", i % 4 == 0 ? Outcome.TIMED_OUT : Outcome.SUCCEEDED, null);
        }
        RequestId read = driver.request(TestRouterSettings.FRESH_READ);
        assertThat(driver.actions)
                .anyMatch(action -> action instanceof Action.StartAttempt start
                        && start.request().equals(read)
                        && start.timeLimit() < 3500);
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE)))
                .as("the concurrency limit of the primary has not shrunk")
                .containsExactly("p");
    }

    @Test
    void aNonIdempotentWriteThatMayHaveRunFailsWithoutARetry() {
        RequestId write = driver.request(TestRouterSettings.WRITE);
        driver.attemptEnded(write, 0, "p", Outcome.FAILED, null);
        assertThat(driver.attempts(write)).hasSize(1);
        assertThat(driver.failures(write)).isEqualTo(1);
        assertThat(driver.rejections(write)).isZero();
    }

    @Test
    void aRejectedWriteIsRetriedAtThePrimaryWithBackoff() {
        RequestId write = driver.request(TestRouterSettings.WRITE);
        driver.attemptEnded(write, 0, "p", Outcome.REJECTED, null);
        assertThat(driver.attempts(write)).as("not retried at once").containsExactly("p");
        assertThat(driver.rejections(write)).isZero();
        driver.advance(120);
        assertThat(driver.attempts(write)).containsExactly("p", "p");
        driver.attemptEnded(write, 1, "p", Outcome.REJECTED, null);
        driver.advance(120);
        assertThat(driver.attempts(write)).as("the backoff has grown").hasSize(2);
    }

    @Test
    void aWriteWithAnIdempotencyKeyIsRetriedWithinItsWindowAndFailsAfterIt() {
        RequestId write = driver.request(TestRouterSettings.WRITE_WITH_IDEMPOTENCY_KEY);
        driver.attemptEnded(write, 0, "p", Outcome.FAILED, null);
        assertThat(driver.attempts(write)).containsExactly("p", "p");
        driver.nowMs += 2000;
        driver.attemptEnded(write, 1, "p", Outcome.FAILED, null);
        assertThat(driver.attempts(write)).hasSize(2);
        assertThat(driver.failures(write)).isEqualTo(1);
    }

    /** Regression test for a repeat that was written after its group has forgotten it, having waited for a connection. */
    @Test
    void aWriteThatMayHaveRunMustBeWrittenAgainWithinTheWindowOfItsFirstAttempt() {
        long firstAttemptAt = driver.nowMs * Ticks.ofMillis(1);
        long windowEnd = firstAttemptAt + TestRouterSettings.IDEMPOTENCY_WINDOW - RequestDeadlines.DEADLINE_MARGIN;
        RequestId write = driver.request(TestRouterSettings.WRITE_WITH_IDEMPOTENCY_KEY);
        driver.nowMs += 700;
        driver.attemptEnded(write, 0, "p", Outcome.FAILED, null);
        driver.nowMs += 700;
        driver.attemptEnded(write, 1, "p", Outcome.FAILED, null);
        assertThat(writeConditions(write))
                .containsExactly(
                        UNCONDITIONAL,
                        new WriteConditions(windowEnd, false, false),
                        new WriteConditions(windowEnd, false, false));
    }

    @Test
    void aWriteThatCannotHaveRunMayBeWrittenAgainAtAnyTime() {
        RequestId write = driver.request(TestRouterSettings.WRITE_WITH_IDEMPOTENCY_KEY);
        driver.attemptEnded(write, 0, "p", Outcome.NEVER_SENT, null);
        assertThat(writeConditions(write)).containsExactly(UNCONDITIONAL, UNCONDITIONAL);
    }

    private List<WriteConditions> writeConditions(RequestId request) {
        return driver.actions.stream()
                .filter(action -> action instanceof Action.StartAttempt start
                        && start.request().equals(request))
                .map(action -> ((Action.StartAttempt) action).writeConditions())
                .toList();
    }

    @Test
    void aRequestWhoseClientDisconnectedIsCancelledAndNotRetried() {
        RequestId read = driver.request(TestRouterSettings.BOUNDED_READ);
        String server = driver.attempts(read).get(0);
        driver.deliver(new Event.ClientDisconnected(read));
        assertThat(driver.cancelled(read)).isTrue();
        driver.attemptEnded(read, 0, server, Outcome.CANCELLED, null);
        assertThat(driver.attempts(read)).hasSize(1);
        assertThat(driver.rejections(read) + driver.failures(read)).isZero();
    }
}
