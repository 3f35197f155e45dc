package ploverdale.state;

import ploverdale.model.LoadReport;

/** How a server accepts new connections and requests. Written by {@code ConcurrencyLimiter}. */
public final class ConnectionStatus {
    private long connectFailedAt = LoadReport.UNKNOWN_TIME;
    private boolean refusing;
    private long connectionsLimitedAt = LoadReport.UNKNOWN_TIME;
    private long rejectedAt = LoadReport.UNKNOWN_TIME;
    private long rejectionBackoff;

    /** Returns when a connection last failed. */
    public long connectFailedAt() {
        return connectFailedAt;
    }

    /**
     * Returns whether the server refused several connections in a row, the last one less than {@code maxAge} ticks
     * ago.
     */
    public boolean isRefusing(long maxAge, long now) {
        return refusing && now - connectFailedAt < maxAge;
    }

    /** Returns when failed connections last lowered the server's concurrency limit. */
    public long connectionsLimitedAt() {
        return connectionsLimitedAt;
    }

    /**
     * Records that a connection could not be established.
     *
     * @param immediate whether it was refused immediately, rather than not established in time
     * @param maxInterval the longest time between consecutive refusals, in ticks
     */
    public void recordConnectFailure(boolean immediate, long maxInterval, long now) {
        refusing = immediate && now - connectFailedAt < maxInterval;
        connectFailedAt = now;
        if (refusing || !immediate) {
            connectionsLimitedAt = now;
        }
    }

    /**
     * Records that the server rejected a request for lack of capacity.
     *
     * @param backoff time during which the server gets no request, in ticks
     */
    public void recordRejection(long now, long backoff) {
        rejectedAt = now;
        rejectionBackoff = backoff;
    }

    /** Returns how long after the latest rejection the server gets no request, in ticks; 0 after a success. */
    public long rejectionBackoff() {
        return rejectionBackoff;
    }

    /** Returns whether the backoff of the latest rejection has passed. */
    public boolean isPastRejection(long now) {
        return now - rejectedAt >= rejectionBackoff;
    }

    /** Ends the backoff, after a success. */
    public void clearRejection() {
        rejectionBackoff = 0;
    }
}
