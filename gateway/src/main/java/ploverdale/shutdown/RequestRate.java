package ploverdale.shutdown;

/**
 * Measures the recent rate of requests by an exponentially decaying count. Times are milliseconds of any monotonic
 * clock. Not thread-safe.
 */
public final class RequestRate {
    private static final double MS_PER_SECOND = 1000;

    private final double decayMs;
    private double weight;
    private long updatedAtMs;

    /** @param decayMs time after which a request counts for 1/e of its initial weight */
    public RequestRate(double decayMs) {
        this.decayMs = decayMs;
    }

    /** Counts a request. */
    public void onRequest(long nowMs) {
        decayTo(nowMs);
        weight++;
    }

    /** Sets an initial rate that was measured elsewhere. */
    public void startAt(double perSecond, long nowMs) {
        weight = perSecond * decayMs / MS_PER_SECOND;
        updatedAtMs = nowMs;
    }

    /** Returns the current rate. */
    public double perSecond(long nowMs) {
        decayTo(nowMs);
        return weight * MS_PER_SECOND / decayMs;
    }

    private void decayTo(long nowMs) {
        weight *= Math.exp(-Math.max(0, nowMs - updatedAtMs) / decayMs);
        updatedAtMs = Math.max(updatedAtMs, nowMs);
    }
}
