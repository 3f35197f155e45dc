package ploverdale.gossip;

/**
 * Limits what gossip sends: a token bucket of bytes for changes, which client requests and time fill, and one of snapshots.
 * Times in tenths of a millisecond.
 */
final class SendBudget {
    private static final double SECOND = 10_000;
    private static final double BYTES_PER_REQUEST = 0.2 * DatagramCodec.MAX_BYTES;
    /** So that a gateway without requests passes on changes, too. */
    private static final double BYTES_PER_SECOND = 40;

    private static final double MAX_BYTES = 4 * DatagramCodec.MAX_BYTES;
    private static final double SNAPSHOTS_PER_SECOND = 4;
    private static final double MAX_SNAPSHOTS = 8;

    private double bytes = DatagramCodec.MAX_BYTES;
    private double snapshots = MAX_SNAPSHOTS;
    private long refilledAt;

    /** Time counts from now on. */
    void start(long now) {
        refilledAt = now;
    }

    /** Adds what has accrued with time. */
    void refill(long now) {
        double seconds = Math.max(0, now - refilledAt) / SECOND;
        refilledAt = Math.max(refilledAt, now);
        bytes = Math.min(MAX_BYTES, bytes + BYTES_PER_SECOND * seconds);
        snapshots = Math.min(MAX_SNAPSHOTS, snapshots + SNAPSHOTS_PER_SECOND * seconds);
    }

    /** A client's request has come. */
    void onRequest() {
        bytes = Math.min(MAX_BYTES, bytes + BYTES_PER_REQUEST);
    }

    /** How many datagrams of a length may be sent now, at most the limit. */
    int affordable(int length, int limit) {
        return (int) Math.min(limit, bytes / length);
    }

    /** So many bytes of changes are sent. */
    void spend(int sent) {
        bytes -= sent;
    }

    /** Whether a snapshot may be sent now. */
    boolean allowsSnapshot() {
        return snapshots >= 1;
    }

    /** A snapshot is sent. */
    void spendSnapshot() {
        snapshots--;
    }
}
