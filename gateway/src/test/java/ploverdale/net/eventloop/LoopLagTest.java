package ploverdale.net.eventloop;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.clock.Clock;

/**
 * Checks the lag of the event loop as measured by a timer of 10 ms. If a pause went unnoticed, requests that arrived
 * during it would be routed as if they were new. Times are tenths of a millisecond.
 */
class LoopLagTest {
    private final ManualClock clock = new ManualClock();
    private final LoopLag lag = new LoopLag(clock);

    private void fireTimerAt(long time) {
        clock.now = time;
        lag.onTimer();
    }

    @Test
    void aLoopWhoseTimerFiresOnTimeHasNoLag() {
        fireTimerAt(100);
        fireTimerAt(200);
        clock.now = 299;
        assertThat(lag.lag()).isZero();
        assertThat(lag.lastInterval()).isEqualTo(100);
    }

    @Test
    void threeIntervalsSinceThePreviousFiringAreTolerated() {
        fireTimerAt(100);
        fireTimerAt(200);
        clock.now = 400;
        assertThat(lag.lag()).isZero();
        clock.now = 401;
        assertThat(lag.lag()).isEqualTo(1);
    }

    @Test
    void theLagOfAPauseLastsUntilTheSecondFiringAfterIt() {
        fireTimerAt(100);
        fireTimerAt(5100);
        assertThat(lag.lag()).isEqualTo(4700);
        assertThat(lag.lastInterval()).isEqualTo(5000);
        fireTimerAt(5200);
        assertThat(lag.lag()).isZero();
    }

    /** A clock that shows the time that the test sets. */
    private static final class ManualClock implements Clock {
        private long now;

        @Override
        public long now() {
            return now;
        }

        @Override
        public long wallMs() {
            return now / 10;
        }

        @Override
        public long nanos() {
            return now * 100_000;
        }
    }
}
