package ploverdale.net.client;

/**
 * Counts the bytes that the gateway buffers for all clients together: requests in flight, queued and incomplete
 * messages, and responses that clients have not read. Used on the event loop only.
 */
final class MemoryBudget {
    /** From this size on, new requests are rejected, and clients with the oldest incomplete messages are evicted. */
    private static final long MAX_BYTES = 16 * 1024 * 1024;

    private long usedBytes;

    /** Adds bytes to the count, even beyond the budget. */
    void reserve(long bytes) {
        usedBytes += bytes;
    }

    /** Subtracts bytes from the count. */
    void release(long bytes) {
        usedBytes -= bytes;
    }

    /** Returns the number of bytes that are counted now. */
    long usedBytes() {
        return usedBytes;
    }

    /** Returns whether the budget is used up, so that new requests must be rejected. */
    boolean isExhausted() {
        return usedBytes >= MAX_BYTES;
    }
}
