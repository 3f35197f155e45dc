package ploverdale.gossip;

/**
 * Limits what gossip sends by two token buckets: one of bytes for changes, which fills with time and with each client
 * request, and one of snapshots. Times in tenths of a millisecond.
 */
final class SendBudget {
    private static final double SECOND = 10_000;
    private static final double BYTES_PER_REQUEST = 0.2 * DatagramCodec.MAX_BYTES;
    /** Lets a gateway without client requests forward changes as well. */
    private static final double BYTES_PER_SECOND = 40;

    private static final double MAX_BYTES = 4 * DatagramCodec.MAX_BYTES;
    private static final double SNAPSHOTS_PER_SECOND = 4;
    private static final double MAX_SNAPSHOTS = 8;

    private double bytes = DatagramCodec.MAX_BYTES;
    private double snapshots = MAX_SNAPSHOTS;
    private long refilledAt;

    /** Starts to refill from this time on. */
    void start(long now) {
        refilledAt = now;
    }

    /** Adds the tokens that have accrued since the last refill. */
    void refill(long now) {
        double seconds = Math.max(0, now - refilledAt) / SECOND;
        refilledAt = Math.max(refilledAt, now);
        bytes = Math.min(MAX_BYTES, bytes + BYTES_PER_SECOND * seconds);
        snapshots = Math.min(MAX_SNAPSHOTS, snapshots + SNAPSHOTS_PER_SECOND * seconds);
    }

    /** Called when a client request arrives; adds its share of bytes. */
    void onRequest() {
        bytes = Math.min(MAX_BYTES, bytes + BYTES_PER_REQUEST);
    }

    /** Returns how many datagrams of a length in bytes may be sent now, at most {@code limit}. */
    int affordable(int length, int limit) {
        return (int) Math.min(limit, bytes / length);
    }

    /** Takes the bytes of sent changes from the budget. */
    void spend(int sent) {
        bytes -= sent;
    }

    /** Returns whether a snapshot may be sent now. */
    boolean allowsSnapshot() {
        return snapshots >= 1;
    }

    /** Takes a sent snapshot from the budget. */
    void spendSnapshot() {
        snapshots--;
    }
}
