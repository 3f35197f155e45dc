package ploverdale.clock;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The offset between the servers' wall clock and service time, from samples alone. Times in tenths of a millisecond.
 */
class WallClockOffsetTest {
    private static final long MS = 10;
    private static final long SECOND = 1000 * MS;
    private static final long WAY = 2 * MS;

    private final WallClockOffset offset = new WallClockOffset();
    private long now = 1_000_000 * SECOND;
    private long trueOffset;

    private boolean primary(String server) {
        return primary(server, 0);
    }

    /** A primary answers, its wall clock off by this. */
    private boolean primary(String server, long off) {
        long writtenAt = now;
        now += WAY;
        long position = (now - WAY / 2 + trueOffset + off) / MS * MS;
        return offset.observe(server, position, writtenAt, now, true);
    }

    private boolean replica(String server, long lag) {
        return offset.observe(server, (now + trueOffset - lag) / MS * MS, now - WAY, now, false);
    }

    @Test
    void whilePrimariesConfirmItNothingChanges() {
        for (int i = 0; i < 20; i++) {
            assertThat(primary("p")).isFalse();
            assertThat(replica("r", i * SECOND)).isFalse();
            now += SECOND;
        }
        assertThat(offset.isKnown()).isTrue();
        assertThat(offset.offset()).isZero();
    }

    @ParameterizedTest
    @ValueSource(longs = {5 * SECOND, -5 * SECOND, 3600 * SECOND, -3600 * SECOND})
    void aLonePrimaryThatContradictsItMakesItUnknownAndSetsItOnceItIsSteady(long off) {
        trueOffset = off;
        assertThat(primary("p")).isTrue();
        assertThat(offset.isKnown()).isFalse();
        now += 150 * MS;
        assertThat(primary("p")).isFalse();
        now += 200 * MS;
        assertThat(primary("p")).isTrue();
        assertThat(offset.isKnown()).isTrue();
        assertThat(offset.offset()).isBetween(off, off + WAY + 2 * MS);
    }

    @ParameterizedTest
    @ValueSource(longs = {5 * SECOND, -5 * SECOND, 3600 * SECOND, -3600 * SECOND})
    void twoPrimariesThatAgreeSetItAtOnce(long off) {
        trueOffset = off;
        primary("p1");
        assertThat(primary("p2")).isTrue();
        assertThat(offset.isKnown()).isTrue();
        assertThat(offset.offset()).isBetween(off, off + WAY + 2 * MS);
    }

    @ParameterizedTest
    @ValueSource(longs = {5 * SECOND, -5 * SECOND, 3600 * SECOND, -3600 * SECOND})
    void onePrimaryThatIsOffAmongSeveralMovesNothing(long off) {
        primary("p1");
        for (int i = 0; i < 20; i++) {
            assertThat(primary("bad", off)).isFalse();
            assertThat(primary("p1")).isFalse();
            now += 100 * MS;
        }
        assertThat(offset.isKnown()).isTrue();
        assertThat(offset.offset()).isZero();
    }

    @Test
    void oneCorruptAnswerOfALonePrimaryMovesNothing() {
        for (int i = 0; i < 9; i++) {
            assertThat(primary("p", i % 3 == 2 ? 1_000_000 * SECOND : 0)).isFalse();
            now += 100 * MS;
        }
        assertThat(offset.isKnown()).isTrue();
        assertThat(offset.offset()).isZero();
    }

    @Test
    void anAnswerThatIsReadLateContradictsNothing() {
        long position = now + MS;
        assertThat(offset.observe("p", position / MS * MS, now, now + 30 * SECOND, true))
                .isFalse();
        assertThat(offset.isKnown()).isTrue();
    }

    @Test
    void aPrimaryWhoseClockStoppedSetsNothing() {
        long stopped = now - 60 * SECOND;
        for (int i = 0; i < 20; i++) {
            offset.observe("p", stopped, now, now + WAY, true);
            now += 100 * MS;
        }
        assertThat(offset.isKnown()).isFalse();
        assertThat(offset.offset()).isZero();
    }

    @Test
    void staleReportsOfAllServersNeverLowerIt() {
        for (int i = 0; i < 50; i++) {
            for (String server : new String[] {"a", "b", "c"}) {
                assertThat(replica(server, 20 * SECOND)).isFalse();
            }
            now += 100 * MS;
        }
        assertThat(offset.offset()).isZero();
    }

    @Test
    void withoutPrimariesPositionsOfTheFutureMakeItUnknownUntilAPrimaryIsHeard() {
        trueOffset = 5 * SECOND;
        assertThat(replica("a", SECOND)).isTrue();
        assertThat(offset.isKnown()).isFalse();
        for (int i = 0; i < 20; i++) {
            assertThat(replica("b", 100 * MS)).isFalse();
            now += 100 * MS;
        }
        assertThat(offset.isKnown()).isFalse();
        primary("p1");
        assertThat(primary("p2")).isTrue();
        assertThat(offset.isKnown()).isTrue();
        assertThat(offset.offset()).isGreaterThanOrEqualTo(trueOffset);
    }

    @Test
    void oneServerThatTellsPositionsOfTheFutureIsIgnoredBesideOthers() {
        replica("a", 0);
        replica("b", 0);
        for (int i = 0; i < 20; i++) {
            assertThat(replica("bad", -3600 * SECOND)).isFalse();
            now += 100 * MS;
        }
        assertThat(offset.isAhead(now + 3600 * SECOND, now)).isTrue();
        assertThat(offset.offset()).isZero();
    }

    @Test
    void aContradictionThatPassesLeavesItAsItWas() {
        assertThat(primary("bad", 5 * SECOND)).isTrue();
        primary("p");
        assertThat(offset.isKnown()).isTrue();
        assertThat(offset.offset()).isZero();
    }

    @Test
    void whateverServersTellNoPositionLooksFresherThanItIs() {
        long seed = System.nanoTime();
        SplittableRandom random = new SplittableRandom(seed);
        for (int story = 0; story < 500; story++) {
            WallClockOffset its = new WallClockOffset();
            long off = (random.nextBoolean() ? 1 : -1) * (SECOND + random.nextLong(3600 * SECOND));
            boolean corrected = false;
            for (int i = 0; i < 200; i++) {
                long writtenAt = now;
                now += 1 + random.nextLong(random.nextInt(20) == 0 ? SECOND : 5 * MS);
                boolean primary = random.nextBoolean();
                long dated =
                        primary ? writtenAt + random.nextLong(now - writtenAt + 1) : now - random.nextLong(20 * SECOND);
                int server = random.nextInt(3) * 2 + (primary ? 1 : 0);
                long corrupt = random.nextInt(30) == 0 ? random.nextLong(7200 * SECOND) - 3600 * SECOND : 0;
                its.observe(server, Math.floorDiv(dated + off + corrupt, MS) * MS, writtenAt, now, primary);
                corrected |= its.offset() != 0;
                if (its.isKnown() && corrected) {
                    assertThat(its.offset())
                            .as("seed %d, story %d, answer %d", seed, story, i)
                            .isGreaterThanOrEqualTo(off);
                }
                now += random.nextLong(200 * MS);
            }
            assertThat(corrected).as("seed %d, story %d", seed, story).isTrue();
        }
    }
}
