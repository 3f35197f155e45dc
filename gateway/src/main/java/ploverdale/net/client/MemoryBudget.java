package ploverdale.net.client;

/**
 * Counts the bytes that all clients together make this gateway keep: requests in flight, queued and incomplete messages, and
 * responses that clients have not read. Used on the event loop only.
 */
final class MemoryBudget {
    /** In bytes. Above it new requests are rejected, and the oldest incomplete messages are given up. */
    private static final long MAX_BYTES = 16 * 1024 * 1024;

    private long usedBytes;

    /** Counts further bytes, also above the budget. */
    void reserve(long bytes) {
        usedBytes += bytes;
    }

    /** Counts bytes no longer. */
    void release(long bytes) {
        usedBytes -= bytes;
    }

    /** Bytes counted now. */
    long usedBytes() {
        return usedBytes;
    }

    /** Whether nothing that can be rejected may be added. */
    boolean isExhausted() {
        return usedBytes >= MAX_BYTES;
    }
}
