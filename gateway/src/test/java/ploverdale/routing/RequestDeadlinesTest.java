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

/** Time limits of attempts, queued requests and the shutdown, as seen through the router. */
class RequestDeadlinesTest {
    private final RouterDriver host = RouterDriver.settled();

    @Test
    void requestsThatArriveWhenTheMaintenanceTimerIsDueDoNotPostponeIt() {
        host.ends(host.ask(RouterDriver.SUBMIT), 0, "p", Outcome.MISDIRECTED, null);
        RequestId write = host.ask(RouterDriver.SUBMIT);
        List<Long> wakes = new ArrayList<>();
        for (int i = 0; i < 600 && host.busyReplies(write) == 0; i++) {
            host.nowMs += 5;
            host.acts.stream()
                    .filter(Action.SetTimer.class::isInstance)
                    .forEach(a -> wakes.add(((Action.SetTimer) a).at()));
            host.acts.removeIf(Action.SetTimer.class::isInstance);
            host.ask(RouterDriver.SUBMIT);
            if (wakes.removeIf(at -> at <= host.nowMs * 10 - 10)) {
                host.tell(new Event.TimerFired(0));
            }
        }
        assertThat(host.busyReplies(write)).isEqualTo(1);
    }

    @Test
    void atTheShutdownDeadlineEachPendingRequestIsAnsweredOnceByItsProvenOutcome() {
        RequestId read = host.ask(RouterDriver.VIEW);
        RequestId write = host.ask(RouterDriver.SUBMIT);
        host.tell(new Event.AttemptEnded(
                host.ask(RouterDriver.SUBMIT),
                0,
                new ServerId("p"),
                Outcome.MISDIRECTED,
                10,
                false,
                RouterDriver.report(Role.REPLICA, host.nowMs),
                null));
        RequestId held = host.ask(RouterDriver.SUBMIT);
        assertThat(host.sends(held)).isEmpty();
        host.tell(new Event.ShutdownDeadline());
        assertThat(host.busyReplies(read)).isEqualTo(1); // may be repeated
        assertThat(host.errorReplies(write)).isEqualTo(1); // may have run
        assertThat(host.busyReplies(held)).isEqualTo(1); // was never sent
        assertThat(host.calledOff(write)).isTrue();
        host.ends(write, 0, "p", Outcome.CANCELLED, null);
        host.pass(3000);
        assertThat(host.sends(write)).hasSize(1);
        assertThat(host.busyReplies(write) + host.errorReplies(write)).isEqualTo(1);
    }

    @Test
    void aQueuedWriteIsRejectedAfterHalfItsTimeWhenNoPrimaryAppears() {
        host.ends(host.ask(RouterDriver.SUBMIT), 0, "p", Outcome.MISDIRECTED, null);
        RequestId write = host.ask(RouterDriver.SUBMIT);
        host.pass(1400);
        assertThat(host.busyReplies(write)).isZero();
        host.pass(100);
        assertThat(host.busyReplies(write)).isEqualTo(1);
        assertThat(host.sends(write)).isEmpty();
    }

    @Test
    void aWritesAttemptTimesOutBeforeTheRequestsDeadline() {
        RouterDriver h = RouterDriver.settled();
        RequestId write = h.ask(RouterDriver.SUBMIT);
        assertThat(h.acts.stream()
                        .filter(a -> a instanceof Action.StartAttempt x
                                && x.request().equals(write))
                        .map(a -> ((Action.StartAttempt) a).timeLimit()))
                .containsExactly(30_000L - 30_000 / 50);
    }
}
