package ploverdale.quota;

/**
 * How many units of a limit were lately wanted, also where they could not be acquired: of a rate, an exponentially weighted
 * count of the attempts to acquire one a second; of concurrency, a peak that decays.
 *
 * <p>Times are tenths of a millisecond of a monotonic clock. Not thread-safe.
 */
final class DemandEstimate {
    private static final double SECOND = 10_000;
    private static final double DECAY_TIME_CONSTANT = 1000 * 10; // a second: short beside changes of the load
    private static final double NEGLIGIBLE = 0.05; // units below it do not count as a further one

    private double estimate;
    private long updatedAt;

    DemandEstimate(long now) {
        updatedAt = now;
    }

    /** One more unit of a rate is wanted. */
    void addOne(long now) {
        decay(now);
        estimate += SECOND / DECAY_TIME_CONSTANT;
    }

    /** So many units are wanted at the same time. */
    void raiseTo(long now, int units) {
        decay(now);
        estimate = Math.max(estimate, units);
    }

    /** Units that are wanted, rounded up. */
    int units(long now) {
        decay(now);
        return (int) Math.ceil(estimate - NEGLIGIBLE);
    }

    private void decay(long now) {
        estimate *= Math.exp(-Math.max(0, now - updatedAt) / DECAY_TIME_CONSTANT);
        updatedAt = Math.max(updatedAt, now);
    }
}
