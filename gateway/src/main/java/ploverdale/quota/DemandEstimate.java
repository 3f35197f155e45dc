package ploverdale.quota;

/**
 * Estimates how many units of a limit were wanted recently, including those that could not be acquired. The estimate
 * of a rate limit is the exponentially weighted number of attempted acquisitions per second; that of a concurrency
 * limit is a decaying peak.
 *
 * <p>Times are in tenths of a millisecond of a monotonic clock. Not thread-safe.
 */
final class DemandEstimate {
    private static final double TICKS_PER_SECOND = 10_000;
    /** One second, which is short compared with the time in which the load changes. */
    private static final double DECAY_TIME_CONSTANT_TICKS = 1000 * 10;

    private static final double NEGLIGIBLE = 0.05; // a fraction up to this is not rounded up to a unit

    private double estimate;
    private long updatedAt;

    DemandEstimate(long now) {
        updatedAt = now;
    }

    /** Counts an attempted acquisition of a unit of a rate limit. */
    void addOne(long now) {
        decay(now);
        estimate += TICKS_PER_SECOND / DECAY_TIME_CONSTANT_TICKS;
    }

    /** Raises the estimate of a concurrency limit to the number of units wanted at the same time. */
    void raiseTo(long now, int units) {
        decay(now);
        estimate = Math.max(estimate, units);
    }

    /** Returns the units wanted recently, rounded up. */
    int units(long now) {
        decay(now);
        return (int) Math.ceil(estimate - NEGLIGIBLE);
    }

    private void decay(long now) {
        estimate *= Math.exp(-Math.max(0, now - updatedAt) / DECAY_TIME_CONSTANT_TICKS);
        updatedAt = Math.max(updatedAt, now);
    }
}
