package ploverdale.shutdown;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.shutdown.GracefulShutdown.Step;

/** When a gateway that was told to leave ends; the platform kills it after 3.7 s. */
class GracefulShutdownTest {
    private static Step after(GracefulShutdown d, long until, long everyMs) {
        for (long ms = everyMs; ms < until; ms += everyMs) {
            d.asked(ms);
        }
        return d.at(until, 20, 2);
    }

    @Test
    void servesOnWhileItIsAsked() {
        GracefulShutdown d = new GracefulShutdown(3700, 100);
        assertThat(after(d, 2499, 10)).isEqualTo(Step.SERVES);
        assertThat(d.at(2500, 20, 2)).isEqualTo(Step.ENDS);
        assertThat(d.at(3499, 20, 2)).isEqualTo(Step.ENDS);
        assertThat(d.at(3500, 20, 2)).isEqualTo(Step.FINISHES);
        assertThat(d.at(3649, 20, 2)).isEqualTo(Step.FINISHES);
        assertThat(d.at(3650, 20, 2)).isEqualTo(Step.OVER);
    }

    @Test
    void endsAtOnceWhenItsClientsHaveGone() {
        GracefulShutdown d = new GracefulShutdown(3700, 300);
        assertThat(after(d, 300, 3)).isEqualTo(Step.SERVES);
        assertThat(d.at(499, 20, 0)).isEqualTo(Step.SERVES); // new ones may still come
        assertThat(d.at(700, 20, 0)).isEqualTo(Step.ENDS);
        assertThat(d.at(720, 0, 1)).isEqualTo(Step.ENDS);
        assertThat(d.at(740, 0, 0)).isEqualTo(Step.OVER);
    }

    @Test
    void aFewWhoAskOnAreNoReasonToStay() {
        GracefulShutdown d = new GracefulShutdown(3700, 300);
        after(d, 300, 3);
        for (long ms = 300; ms < 1500; ms += 100) {
            d.asked(ms);
        }
        assertThat(d.at(1500, 3, 0)).isEqualTo(Step.ENDS);
    }

    @Test
    void whereFewAskAPauseIsNoEnd() {
        GracefulShutdown d = new GracefulShutdown(3700, 4);
        d.asked(100);
        assertThat(d.at(900, 5, 0)).isEqualTo(Step.SERVES);
        assertThat(new GracefulShutdown(3700, 0).at(500, 5, 0)).isEqualTo(Step.ENDS);
    }

    @Test
    void trafficIsCountedByWhatCameLately() {
        Traffic t = new Traffic(1000);
        for (long ms = 0; ms < 10_000; ms += 10) {
            t.request(ms);
        }
        assertThat(t.perSecond(10_000)).isBetween(95.0, 105.0);
        assertThat(t.perSecond(12_000)).isBetween(10.0, 18.0);
    }

    @Test
    void eachOpIsAnsweredSoLongBeforeTheEndThatAStandstillOfHalfASecondLosesNone() {
        assertThat(new GracefulShutdown(3700, 100).answersBy())
                .isLessThanOrEqualTo(3700 - 500)
                .isGreaterThan(2500);
    }
}
