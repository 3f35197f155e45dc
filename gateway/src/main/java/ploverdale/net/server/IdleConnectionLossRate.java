package ploverdale.net.server;

/**
 * Estimates how often a reused connection turns out to be lost, as a function of how long it was idle before. Keeps an
 * exponentially weighted moving average for each power of two of the idle time. Firewalls and proxies drop connections
 * after an idle time of their own, without closing them; the estimate finds that time, so that the pool stops reusing
 * such connections. Used on the event loop only.
 */
final class IdleConnectionLossRate {
    /**
     * Idle time at which the first bucket ends (50 ms). Connections are not dropped that soon, so its rate is ignored.
     */
    private static final long FIRST_BUCKET_IDLE_TICKS = 500;

    private static final int BUCKETS = 24; // the last one begins at an idle time of 58 hours
    private static final double NEWEST_SAMPLE_WEIGHT = 0.1;
    private static final double MAX_LOSS_RATE = 0.3; // higher than the rate that occasional resets cause
    private static final double DECAY_TICKS = 100_000; // 10 s; after that, such connections are tried again

    private final double[] lossRates = new double[BUCKETS];
    private final long[] updatedAt = new long[BUCKETS];

    /**
     * Returns whether connections that were idle for this long are lost too often to be reused.
     *
     * @param idleTime in tenths of a millisecond
     * @param now service time
     */
    boolean isTooHigh(long idleTime, long now) {
        int bucket = bucket(idleTime);
        return bucket > 0 && decayed(bucket, now) > MAX_LOSS_RATE;
    }

    /** Records whether a connection that was reused after this idle time was lost before it answered. */
    void record(long idleTime, boolean lost, long now) {
        int bucket = bucket(idleTime);
        double rate = decayed(bucket, now);
        double sample = lost ? 1 : 0;
        lossRates[bucket] = rate + NEWEST_SAMPLE_WEIGHT * (sample - rate);
        updatedAt[bucket] = now;
    }

    private double decayed(int bucket, long now) {
        return lossRates[bucket] * Math.exp(-(now - updatedAt[bucket]) / DECAY_TICKS);
    }

    private static int bucket(long idleTime) {
        int bucket = Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, idleTime / FIRST_BUCKET_IDLE_TICKS));
        return Math.min(bucket, BUCKETS - 1);
    }
}
