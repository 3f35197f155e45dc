package ploverdale.shutdown;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.shutdown.GracefulShutdown.Phase;

/** When a gateway that was told to leave ends; the platform kills it after 3.7 s. */
class GracefulShutdownTest {
    private static Phase after(GracefulShutdown d, long until, long everyMs) {
        for (long ms = everyMs; ms < until; ms += everyMs) {
            d.onRequest(ms);
        }
        return d.phaseAt(until, 20, 2);
    }

    @Test
    void servesOnWhileItIsAsked() {
        GracefulShutdown d = new GracefulShutdown(3700, 100);
        assertThat(after(d, 2499, 10)).isEqualTo(Phase.SERVING);
        assertThat(d.phaseAt(2500, 20, 2)).isEqualTo(Phase.CLOSING_IDLE);
        assertThat(d.phaseAt(3499, 20, 2)).isEqualTo(Phase.CLOSING_IDLE);
        assertThat(d.phaseAt(3500, 20, 2)).isEqualTo(Phase.ANSWERING);
        assertThat(d.phaseAt(3649, 20, 2)).isEqualTo(Phase.ANSWERING);
        assertThat(d.phaseAt(3650, 20, 2)).isEqualTo(Phase.FINISHED);
    }

    @Test
    void endsAtOnceWhenItsClientsHaveGone() {
        GracefulShutdown d = new GracefulShutdown(3700, 300);
        assertThat(after(d, 300, 3)).isEqualTo(Phase.SERVING);
        assertThat(d.phaseAt(499, 20, 0)).isEqualTo(Phase.SERVING); // new ones may still come
        assertThat(d.phaseAt(700, 20, 0)).isEqualTo(Phase.CLOSING_IDLE);
        assertThat(d.phaseAt(720, 0, 1)).isEqualTo(Phase.CLOSING_IDLE);
        assertThat(d.phaseAt(740, 0, 0)).isEqualTo(Phase.FINISHED);
    }

    @Test
    void aFewWhoAskOnAreNoReasonToStay() {
        GracefulShutdown d = new GracefulShutdown(3700, 300);
        after(d, 300, 3);
        for (long ms = 300; ms < 1500; ms += 100) {
            d.onRequest(ms);
        }
        assertThat(d.phaseAt(1500, 3, 0)).isEqualTo(Phase.CLOSING_IDLE);
    }

    @Test
    void whereFewAskAPauseIsNoEnd() {
        GracefulShutdown d = new GracefulShutdown(3700, 4);
        d.onRequest(100);
        assertThat(d.phaseAt(900, 5, 0)).isEqualTo(Phase.SERVING);
        assertThat(new GracefulShutdown(3700, 0).phaseAt(500, 5, 0)).isEqualTo(Phase.CLOSING_IDLE);
    }

    @Test
    void trafficIsCountedByWhatCameLately() {
        RequestRate t = new RequestRate(1000);
        for (long ms = 0; ms < 10_000; ms += 10) {
            t.onRequest(ms);
        }
        assertThat(t.perSecond(10_000)).isBetween(95.0, 105.0);
        assertThat(t.perSecond(12_000)).isBetween(10.0, 18.0);
    }

    @Test
    void eachOpIsAnsweredSoLongBeforeTheEndThatAStandstillOfHalfASecondLosesNone() {
        assertThat(new GracefulShutdown(3700, 100).answerByMs())
                .isLessThanOrEqualTo(3700 - 500)
                .isGreaterThan(2500);
    }
}
