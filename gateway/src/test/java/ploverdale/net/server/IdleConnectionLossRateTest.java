package ploverdale.net.server;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Checks which idle times the loss rate excludes from reuse. A connection that the network dropped while it was idle
 * costs an attempt; excluding idle times without need costs new connections. Times are tenths of a millisecond.
 */
class IdleConnectionLossRateTest {
    private static final long SECOND = 10_000;
    private static final long NOW = 1000 * SECOND;

    private final IdleConnectionLossRate rate = new IdleConnectionLossRate();

    private void recordLosses(long idleTime, int times) {
        for (int i = 0; i < times; i++) {
            rate.record(idleTime, true, NOW);
        }
    }

    @Test
    void withoutLossesNoRateIsTooHigh() {
        for (long idleTime = 0; idleTime < 100_000 * SECOND; idleTime = idleTime * 2 + 1) {
            assertThat(rate.isTooHigh(idleTime, NOW))
                    .as("idle for %d", idleTime)
                    .isFalse();
        }
    }

    @Test
    void manyLossesAfterOneIdleTimeStopReuseAfterThatIdleTimeOnly() {
        recordLosses(4 * SECOND, 4);
        assertThat(rate.isTooHigh(4 * SECOND, NOW)).isTrue();
        assertThat(rate.isTooHigh(SECOND, NOW)).isFalse();
        assertThat(rate.isTooHigh(16 * SECOND, NOW)).isFalse();
    }

    @Test
    void fewLossesDoNotStopReuse() {
        recordLosses(4 * SECOND, 3);
        assertThat(rate.isTooHigh(4 * SECOND, NOW)).isFalse();
    }

    @Test
    void occasionalLossesAmongAnswersDoNotStopReuse() {
        for (int i = 0; i < 1000; i++) {
            rate.record(4 * SECOND, i % 10 == 0, NOW);
            assertThat(rate.isTooHigh(4 * SECOND, NOW)).isFalse();
        }
    }

    @Test
    void lossesAfterIdleTimesBelowFiftyMillisecondsAreIgnored() {
        recordLosses(499, 100);
        assertThat(rate.isTooHigh(499, NOW)).isFalse();
    }

    @Test
    void reuseIsTriedAgainSomeTimeAfterTheLosses() {
        recordLosses(4 * SECOND, 100);
        assertThat(rate.isTooHigh(4 * SECOND, NOW + 10 * SECOND)).isTrue();
        assertThat(rate.isTooHigh(4 * SECOND, NOW + 13 * SECOND)).isFalse();
    }

    @Test
    void veryLongIdleTimesShareTheLastBucket() {
        recordLosses(Long.MAX_VALUE, 4);
        assertThat(rate.isTooHigh(Long.MAX_VALUE / 2, NOW)).isTrue();
    }
}
