package ploverdale.gossip;

/** When a gateway that has just started asks peers for snapshots. Times in tenths of a millisecond. */
final class BootstrapSchedule {
    private static final long MS = 10;
    /** After the start; repeated, since datagrams get lost and peers may start at the same time. */
    private static final long[] DELAYS = {0, 40 * MS, 300 * MS, 1000 * MS};

    private long startedAt = Long.MAX_VALUE;
    private int next;

    /** The gateway starts. */
    void start(long now) {
        startedAt = now;
    }

    /** Whether a request may follow. */
    boolean isPending() {
        return next < DELAYS.length;
    }

    /** Whether a request is due; each is due once. */
    boolean pollDue(long now) {
        if (!isPending() || now - startedAt < DELAYS[next]) {
            return false;
        }
        next++;
        return true;
    }
}
