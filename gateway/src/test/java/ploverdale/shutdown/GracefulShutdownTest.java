package ploverdale.shutdown;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.shutdown.GracefulShutdown.Phase;

/** The phases of a graceful shutdown of a process that is killed after 3.7 s. */
class GracefulShutdownTest {
    /** Sends requests at a regular interval until the given time, and returns the phase at that time. */
    private static Phase phaseAfterRequests(GracefulShutdown shutdown, long untilMs, long intervalMs) {
        for (long ms = intervalMs; ms < untilMs; ms += intervalMs) {
            shutdown.onRequest(ms);
        }
        return shutdown.phaseAt(untilMs, 20, 2);
    }

    @Test
    void passesThroughAllPhasesBeforeTheKillWhileRequestsArrive() {
        GracefulShutdown shutdown = new GracefulShutdown(3700, 100);
        assertThat(phaseAfterRequests(shutdown, 2499, 10)).isEqualTo(Phase.SERVING);
        assertThat(shutdown.phaseAt(2500, 20, 2)).isEqualTo(Phase.CLOSING_IDLE);
        assertThat(shutdown.phaseAt(3499, 20, 2)).isEqualTo(Phase.CLOSING_IDLE);
        assertThat(shutdown.phaseAt(3500, 20, 2)).isEqualTo(Phase.ANSWERING);
        assertThat(shutdown.phaseAt(3649, 20, 2)).isEqualTo(Phase.ANSWERING);
        assertThat(shutdown.phaseAt(3650, 20, 2)).isEqualTo(Phase.FINISHED);
    }

    @Test
    void finishesOnceAllClientsHaveDisconnected() {
        GracefulShutdown shutdown = new GracefulShutdown(3700, 300);
        assertThat(phaseAfterRequests(shutdown, 300, 3)).isEqualTo(Phase.SERVING);
        assertThat(shutdown.phaseAt(499, 20, 0)).isEqualTo(Phase.SERVING); // new connections may still arrive
        assertThat(shutdown.phaseAt(700, 20, 0)).isEqualTo(Phase.CLOSING_IDLE);
        assertThat(shutdown.phaseAt(720, 0, 1)).isEqualTo(Phase.CLOSING_IDLE);
        assertThat(shutdown.phaseAt(740, 0, 0)).isEqualTo(Phase.FINISHED);
    }

    @Test
    void closesIdleConnectionsAtATenthOfTheFormerRequestRate() {
        GracefulShutdown shutdown = new GracefulShutdown(3700, 300);
        phaseAfterRequests(shutdown, 300, 3);
        for (long ms = 300; ms < 1500; ms += 100) {
            shutdown.onRequest(ms);
        }
        assertThat(shutdown.phaseAt(1500, 3, 0)).isEqualTo(Phase.CLOSING_IDLE);
    }

    @Test
    void keepsServingThroughAGapBetweenRareRequests() {
        GracefulShutdown shutdown = new GracefulShutdown(3700, 4);
        shutdown.onRequest(100);
        assertThat(shutdown.phaseAt(900, 5, 0)).isEqualTo(Phase.SERVING);
        assertThat(new GracefulShutdown(3700, 0).phaseAt(500, 5, 0)).isEqualTo(Phase.CLOSING_IDLE);
    }

    @Test
    void theRequestRateDependsOnRecentRequestsOnly() {
        RequestRate rate = new RequestRate(1000);
        for (long ms = 0; ms < 10_000; ms += 10) {
            rate.onRequest(ms);
        }
        assertThat(rate.perSecond(10_000)).isBetween(95.0, 105.0);
        assertThat(rate.perSecond(12_000)).isBetween(10.0, 18.0);
    }

    /** A process pause of half a second right before the kill must not lose an answer. */
    @Test
    void requestsAreAnsweredAtLeastHalfASecondBeforeTheKill() {
        assertThat(new GracefulShutdown(3700, 100).answerByMs())
                .isLessThanOrEqualTo(3700 - 500)
                .isGreaterThan(2500);
    }
}
