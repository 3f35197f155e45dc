package ploverdale.gossip;

/** Schedules the snapshot requests of a gateway that has just started. Times in tenths of a millisecond. */
final class BootstrapSchedule {
    private static final long TICKS_PER_MS = 10;
    /**
     * Delays from the start to each request. Requests are repeated because datagrams get lost, and because peers that
     * start at the same time have nothing to send yet.
     */
    private static final long[] DELAYS = {0, 40 * TICKS_PER_MS, 300 * TICKS_PER_MS, 1000 * TICKS_PER_MS};

    private long startedAt = Long.MAX_VALUE;
    private int next;

    /** Sets the time from which the delays are counted. */
    void start(long now) {
        startedAt = now;
    }

    /** Returns whether any request is still to be sent. */
    boolean isPending() {
        return next < DELAYS.length;
    }

    /** Returns whether a request is due, and if so counts it as sent. */
    boolean pollDue(long now) {
        if (!isPending() || now - startedAt < DELAYS[next]) {
            return false;
        }
        next++;
        return true;
    }
}
