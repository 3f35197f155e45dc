package ploverdale.state;

import ploverdale.model.LoadReport;

/** How a server takes new connections and requests. Written by {@code ConcurrencyLimiter}. */
public final class ConnectionStatus {
    private long connectFailedAt = LoadReport.UNKNOWN_TIME;
    private boolean refusing;
    private long connectionsLimitedAt = LoadReport.UNKNOWN_TIME;
    private long rejectedAt = LoadReport.UNKNOWN_TIME;
    private long rejectionBackoff;

    /** When a connection last failed. */
    public long connectFailedAt() {
        return connectFailedAt;
    }

    /** Whether the server refused several connections in a row, the last one less than so long ago. */
    public boolean isRefusing(long lessThan, long now) {
        return refusing && now - connectFailedAt < lessThan;
    }

    /** When failed connections last limited how many requests the server may have. */
    public long connectionsLimitedAt() {
        return connectionsLimitedAt;
    }

    /**
     * A connection failed.
     *
     * @param immediate whether it was refused at once, rather than not made in time
     * @param rowWithin the longest time between refusals in a row
     */
    public void recordConnectFailure(boolean immediate, long rowWithin, long now) {
        refusing = immediate && now - connectFailedAt < rowWithin;
        connectFailedAt = now;
        if (refusing || !immediate) {
            connectionsLimitedAt = now;
        }
    }

    /** The server rejected a request for lack of capacity; it gets none for so long. */
    public void recordRejection(long now, long backoff) {
        rejectedAt = now;
        rejectionBackoff = backoff;
    }

    /** For how long the latest rejection keeps requests away; 0 after a success. */
    public long rejectionBackoff() {
        return rejectionBackoff;
    }

    /** Whether the latest rejection no longer keeps requests away. */
    public boolean isPastRejection(long now) {
        return now - rejectedAt >= rejectionBackoff;
    }

    /** A success ends the backoff. */
    public void clearRejection() {
        rejectionBackoff = 0;
    }
}
