package ploverdale.clock;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The estimated offset between the servers' wall clock and service time. Times are tenths of a millisecond. */
class WallClockOffsetTest {
    private static final long MS = 10;
    private static final long SECOND = 1000 * MS;
    private static final long ROUND_TRIP_TIME = 2 * MS;

    private final WallClockOffset estimate = new WallClockOffset();
    private long now = 1_000_000 * SECOND;
    private long trueOffset;

    /** Reports the position of a primary with a correct wall clock; returns whether the offset has changed. */
    private boolean observePrimary(String server) {
        return observePrimary(server, 0);
    }

    /** Reports the position of a primary whose wall clock is wrong by this; returns whether the offset has changed. */
    private boolean observePrimary(String server, long clockError) {
        long writtenAt = now;
        now += ROUND_TRIP_TIME;
        long position = (now - ROUND_TRIP_TIME / 2 + trueOffset + clockError) / MS * MS;
        return estimate.observe(server, position, writtenAt, now, true);
    }

    /** Reports the position of a replica that lags by this; returns whether the offset has changed. */
    private boolean observeReplica(String server, long lag) {
        return estimate.observe(server, (now + trueOffset - lag) / MS * MS, now - ROUND_TRIP_TIME, now, false);
    }

    @Test
    void offsetStaysTheSameWhilePrimariesConfirmIt() {
        for (int i = 0; i < 20; i++) {
            assertThat(observePrimary("p")).isFalse();
            assertThat(observeReplica("r", i * SECOND)).isFalse();
            now += SECOND;
        }
        assertThat(estimate.isKnown()).isTrue();
        assertThat(estimate.offset()).isZero();
    }

    @ParameterizedTest
    @ValueSource(longs = {5 * SECOND, -5 * SECOND, 3600 * SECOND, -3600 * SECOND})
    void singlePrimaryThatContradictsOffsetMakesItUnknownAndSetsItAfterEnoughSamples(long clockOffset) {
        trueOffset = clockOffset;
        assertThat(observePrimary("p")).isTrue();
        assertThat(estimate.isKnown()).isFalse();
        now += 150 * MS;
        assertThat(observePrimary("p")).isFalse();
        now += 200 * MS;
        assertThat(observePrimary("p")).isTrue();
        assertThat(estimate.isKnown()).isTrue();
        assertThat(estimate.offset()).isBetween(clockOffset, clockOffset + ROUND_TRIP_TIME + 2 * MS);
    }

    @ParameterizedTest
    @ValueSource(longs = {5 * SECOND, -5 * SECOND, 3600 * SECOND, -3600 * SECOND})
    void twoPrimariesThatAgreeSetOffsetImmediately(long clockOffset) {
        trueOffset = clockOffset;
        observePrimary("p1");
        assertThat(observePrimary("p2")).isTrue();
        assertThat(estimate.isKnown()).isTrue();
        assertThat(estimate.offset()).isBetween(clockOffset, clockOffset + ROUND_TRIP_TIME + 2 * MS);
    }

    @ParameterizedTest
    @ValueSource(longs = {5 * SECOND, -5 * SECOND, 3600 * SECOND, -3600 * SECOND})
    void onePrimaryWithWrongClockDoesNotChangeOffsetThatAnotherConfirms(long clockOffset) {
        observePrimary("p1");
        for (int i = 0; i < 20; i++) {
            assertThat(observePrimary("bad", clockOffset)).isFalse();
            assertThat(observePrimary("p1")).isFalse();
            now += 100 * MS;
        }
        assertThat(estimate.isKnown()).isTrue();
        assertThat(estimate.offset()).isZero();
    }

    @Test
    void corruptAnswersOfSinglePrimaryDoNotChangeOffset() {
        for (int i = 0; i < 9; i++) {
            assertThat(observePrimary("p", i % 3 == 2 ? 1_000_000 * SECOND : 0)).isFalse();
            now += 100 * MS;
        }
        assertThat(estimate.isKnown()).isTrue();
        assertThat(estimate.offset()).isZero();
    }

    @Test
    void answerThatIsReadLateDoesNotContradictOffset() {
        long position = now + MS;
        assertThat(estimate.observe("p", position / MS * MS, now, now + 30 * SECOND, true))
                .isFalse();
        assertThat(estimate.isKnown()).isTrue();
    }

    @Test
    void primaryWhoseClockStoppedDoesNotSetOffset() {
        long stopped = now - 60 * SECOND;
        for (int i = 0; i < 20; i++) {
            estimate.observe("p", stopped, now, now + ROUND_TRIP_TIME, true);
            now += 100 * MS;
        }
        assertThat(estimate.isKnown()).isFalse();
        assertThat(estimate.offset()).isZero();
    }

    @Test
    void staleReportsOfAllServersDoNotLowerOffset() {
        for (int i = 0; i < 50; i++) {
            for (String server : new String[] {"a", "b", "c"}) {
                assertThat(observeReplica(server, 20 * SECOND)).isFalse();
            }
            now += 100 * MS;
        }
        assertThat(estimate.offset()).isZero();
    }

    @Test
    void positionsInFutureMakeOffsetUnknownUntilPrimariesReport() {
        trueOffset = 5 * SECOND;
        assertThat(observeReplica("a", SECOND)).isTrue();
        assertThat(estimate.isKnown()).isFalse();
        for (int i = 0; i < 20; i++) {
            assertThat(observeReplica("b", 100 * MS)).isFalse();
            now += 100 * MS;
        }
        assertThat(estimate.isKnown()).isFalse();
        observePrimary("p1");
        assertThat(observePrimary("p2")).isTrue();
        assertThat(estimate.isKnown()).isTrue();
        assertThat(estimate.offset()).isGreaterThanOrEqualTo(trueOffset);
    }

    @Test
    void singleServerThatReportsPositionsInFutureIsOutvoted() {
        observeReplica("a", 0);
        observeReplica("b", 0);
        for (int i = 0; i < 20; i++) {
            assertThat(observeReplica("bad", -3600 * SECOND)).isFalse();
            now += 100 * MS;
        }
        assertThat(estimate.isAhead(now + 3600 * SECOND, now)).isTrue();
        assertThat(estimate.offset()).isZero();
    }

    @Test
    void offsetIsKnownAgainUnchangedWhenPrimaryConfirmsItAfterContradiction() {
        assertThat(observePrimary("bad", 5 * SECOND)).isTrue();
        observePrimary("p");
        assertThat(estimate.isKnown()).isTrue();
        assertThat(estimate.offset()).isZero();
    }

    @Test
    void correctedOffsetIsNeverTooSmallForRandomReports() {
        long seed = System.nanoTime();
        SplittableRandom random = new SplittableRandom(seed);
        for (int run = 0; run < 500; run++) {
            WallClockOffset randomEstimate = new WallClockOffset();
            long clockOffset = (random.nextBoolean() ? 1 : -1) * (SECOND + random.nextLong(3600 * SECOND));
            boolean corrected = false;
            for (int answer = 0; answer < 200; answer++) {
                long writtenAt = now;
                now += 1 + random.nextLong(random.nextInt(20) == 0 ? SECOND : 5 * MS);
                boolean primary = random.nextBoolean();
                long reportedTime =
                        primary ? writtenAt + random.nextLong(now - writtenAt + 1) : now - random.nextLong(20 * SECOND);
                int server = random.nextInt(3) * 2 + (primary ? 1 : 0);
                long error = random.nextInt(30) == 0 ? random.nextLong(7200 * SECOND) - 3600 * SECOND : 0;
                randomEstimate.observe(server, Math.floorDiv(reportedTime + clockOffset + error, MS) * MS, writtenAt, now, primary);
                corrected |= randomEstimate.offset() != 0;
                if (randomEstimate.isKnown() && corrected) {
                    assertThat(randomEstimate.offset())
                            .as("seed %d, run %d, answer %d", seed, run, answer)
                            .isGreaterThanOrEqualTo(clockOffset);
                }
                now += random.nextLong(200 * MS);
            }
            assertThat(corrected).as("seed %d, run %d", seed, run).isTrue();
        }
    }
}
