package ploverdale.shutdown;

/**
 * The recent rate of requests, as an exponentially decaying count. Times are milliseconds of any clock that never goes back.
 * Not thread-safe.
 */
public final class RequestRate {
    private static final double MS_PER_SECOND = 1000;

    private final double decayMs;
    private double weight;
    private long updatedAtMs;

    /** @param decayMs after which a request counts for 1/e of its weight */
    public RequestRate(double decayMs) {
        this.decayMs = decayMs;
    }

    /** Counts a request. */
    public void onRequest(long nowMs) {
        decayTo(nowMs);
        weight++;
    }

    /** Starts with a rate that was measured elsewhere. */
    public void startAt(double perSecond, long nowMs) {
        weight = perSecond * decayMs / MS_PER_SECOND;
        updatedAtMs = nowMs;
    }

    /** The rate by now. */
    public double perSecond(long nowMs) {
        decayTo(nowMs);
        return weight * MS_PER_SECOND / decayMs;
    }

    private void decayTo(long nowMs) {
        weight *= Math.exp(-Math.max(0, nowMs - updatedAtMs) / decayMs);
        updatedAtMs = Math.max(updatedAtMs, nowMs);
    }
}
