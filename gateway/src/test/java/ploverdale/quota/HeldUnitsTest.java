package ploverdale.quota;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests how many units of one limit can be acquired as sources of units are added, shrink and expire. */
class HeldUnitsTest {
    private static final long SECOND = 10_000;
    private static final UnitSource GUARANTEED = UnitSource.Guaranteed.INSTANCE;
    private static final UnitSource LEASE = new LeasePartition(0, new LeaseDurations(3_000, 2_000, 0.05), 0);

    private final HeldUnits rate = new HeldUnits(new SharedLimit("rate", SharedLimit.Kind.RATE, 100, SECOND), 0);
    private final HeldUnits concurrency =
            new HeldUnits(new SharedLimit("concurrency", SharedLimit.Kind.CONCURRENCY, 100, 4 * SECOND), 0);

    private static int acquireAll(HeldUnits units, long now) {
        int count = 0;
        while (count < 1_000 && units.tryAcquire(now)) {
            count++;
        }
        return count;
    }

    @Test
    void newUnitsOfARateStartWithoutTokensAndAccumulateThemForAtMostTheHoldTime() {
        rate.setUnits(0, GUARANTEED, 10, Long.MAX_VALUE);
        assertThat(acquireAll(rate, 0)).isZero();
        assertThat(acquireAll(rate, SECOND / 2)).isEqualTo(5);
        assertThat(acquireAll(rate, 10 * SECOND)).isEqualTo(10);
    }

    @Test
    void tokensAreLostWithTheUnitsForWhichTheyAccumulated() {
        rate.setUnits(0, GUARANTEED, 4, Long.MAX_VALUE);
        rate.setUnits(0, LEASE, 6, Long.MAX_VALUE);
        rate.setUnits(SECOND, LEASE, 0, SECOND);
        assertThat(acquireAll(rate, SECOND)).isEqualTo(4);
    }

    @Test
    void unitsExpireAtTheirOwnTimeEvenIfTheNextAccessIsLater() {
        rate.setUnits(0, GUARANTEED, 2, Long.MAX_VALUE);
        rate.setUnits(0, LEASE, 8, SECOND / 2);
        assertThat(acquireAll(rate, SECOND)).isEqualTo(2);
        concurrency.setUnits(0, LEASE, 8, SECOND);
        assertThat(concurrency.units(SECOND - 1)).isEqualTo(8);
        assertThat(concurrency.tryAcquire(SECOND)).isFalse();
    }

    @Test
    void unitsOfAConcurrencyLimitAreInUseUntilReleased() {
        concurrency.setUnits(0, GUARANTEED, 2, Long.MAX_VALUE);
        assertThat(acquireAll(concurrency, 0)).isEqualTo(2);
        assertThat(concurrency.canUse(SECOND)).isFalse();
        concurrency.release();
        assertThat(concurrency.canUse(SECOND)).isTrue();
        assertThat(concurrency.inUse()).isEqualTo(1);
    }

    @Test
    void rejectedAcquisitionsCountAsDemandAndTheDemandDecays() {
        concurrency.setUnits(0, GUARANTEED, 2, Long.MAX_VALUE);
        acquireAll(concurrency, 0);
        assertThat(concurrency.demand(0)).isEqualTo(3);
        assertThat(concurrency.rejected()).isEqualTo(1);
        assertThat(concurrency.demand(10 * SECOND)).isZero();
    }

    @Test
    void retryAfterIsTheNextTokenOfARateAndAFractionOfTheHoldTimeOfAConcurrencyLimit() {
        rate.setUnits(0, GUARANTEED, 10, Long.MAX_VALUE);
        assertThat(rate.retryAfter(0)).isEqualTo(SECOND / 10);
        assertThat(rate.retryAfter(SECOND / 20)).isEqualTo(SECOND / 20);
        assertThat(concurrency.retryAfter(0)).isEqualTo(SECOND);
    }
}
