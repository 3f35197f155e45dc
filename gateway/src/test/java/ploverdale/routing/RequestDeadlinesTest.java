package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ploverdale.model.Action;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;

/** Tests through the router the time limits of attempts and queued requests, and the shutdown deadline. */
class RequestDeadlinesTest {
    private final RouterDriver driver = RouterDriver.withCaughtUpReplicas();

    @Test
    void requestsThatArriveWhenTheMaintenanceTimerIsDueDoNotPostponeIt() {
        driver.attemptEnded(driver.request(TestRouterSettings.WRITE), 0, "p", Outcome.MISDIRECTED, null);
        RequestId write = driver.request(TestRouterSettings.WRITE);
        List<Long> timers = new ArrayList<>();
        for (int i = 0; i < 600 && driver.rejections(write) == 0; i++) {
            driver.nowMs += 5;
            driver.actions.stream()
                    .filter(Action.SetTimer.class::isInstance)
                    .forEach(action -> timers.add(((Action.SetTimer) action).at()));
            driver.actions.removeIf(Action.SetTimer.class::isInstance);
            driver.request(TestRouterSettings.WRITE);
            if (timers.removeIf(at -> at <= driver.nowMs * 10 - 10)) {
                driver.deliver(new Event.TimerFired(0));
            }
        }
        assertThat(driver.rejections(write)).isEqualTo(1);
    }

    @Test
    void atTheShutdownDeadlineEachPendingRequestIsAnsweredOnceAndFailsOnlyIfItMayHaveRun() {
        RequestId read = driver.request(TestRouterSettings.BOUNDED_READ);
        RequestId write = driver.request(TestRouterSettings.WRITE);
        driver.deliver(new Event.AttemptEnded(
                driver.request(TestRouterSettings.WRITE),
                0,
                new ServerId("p"),
                Outcome.MISDIRECTED,
                10,
                false,
                RouterDriver.report(Role.REPLICA, driver.nowMs),
                null));
        RequestId queued = driver.request(TestRouterSettings.WRITE);
        assertThat(driver.attempts(queued)).isEmpty();
        driver.deliver(new Event.ShutdownDeadline());
        assertThat(driver.rejections(read)).isEqualTo(1); // idempotent
        assertThat(driver.failures(write)).isEqualTo(1); // may have run
        assertThat(driver.rejections(queued)).isEqualTo(1); // never attempted
        assertThat(driver.cancelled(write)).isTrue();
        driver.attemptEnded(write, 0, "p", Outcome.CANCELLED, null);
        driver.advance(3000);
        assertThat(driver.attempts(write)).hasSize(1);
        assertThat(driver.rejections(write) + driver.failures(write)).isEqualTo(1);
    }

    @Test
    void aQueuedWriteIsRejectedAfterHalfItsTimeoutWhenNoPrimaryAppears() {
        driver.attemptEnded(driver.request(TestRouterSettings.WRITE), 0, "p", Outcome.MISDIRECTED, null);
        RequestId write = driver.request(TestRouterSettings.WRITE);
        driver.advance(1400);
        assertThat(driver.rejections(write)).isZero();
        driver.advance(100);
        assertThat(driver.rejections(write)).isEqualTo(1);
        assertThat(driver.attempts(write)).isEmpty();
    }

    @Test
    void aWritesAttemptTimesOutBeforeTheRequestsDeadline() {
        RouterDriver freshDriver = RouterDriver.withCaughtUpReplicas();
        RequestId write = freshDriver.request(TestRouterSettings.WRITE);
        assertThat(freshDriver.actions.stream()
                        .filter(action -> action instanceof Action.StartAttempt start
                                && start.request().equals(write))
                        .map(action -> ((Action.StartAttempt) action).timeLimit()))
                .containsExactly(30_000L - 30_000 / 50);
    }
}
