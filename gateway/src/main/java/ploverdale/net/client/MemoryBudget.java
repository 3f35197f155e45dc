package ploverdale.net.client;

import ploverdale.log.Log;
import ploverdale.net.postgres.ClientMessageReader;

/**
 * Counts the bytes that the gateway buffers for all clients together: requests in flight, queued and incomplete
 * messages, responses that wait for earlier ones, and responses that clients have not read. Used on the event loop
 * only.
 */
final class MemoryBudget {
    /** Memory reserved for a response that is still awaited: the largest value that a server may return, in messages. */
    static final int MAX_RESPONSE_BYTES = ClientMessageReader.MAX_VALUE_BYTES + 1024;

    /** From this size on, new requests are rejected, and clients with the oldest incomplete messages are evicted. */
    private static final long MAX_BYTES = 16 * 1024 * 1024;

    /** The part of the budget that waiting responses may use; the rest is left for what clients send. */
    private static final long MAX_WAITING_RESPONSE_BYTES = MAX_BYTES / 2;

    /** From this size on, each client may queue less: half of what waiting responses leave. */
    private static final long SCARCE_INPUT_BYTES = (MAX_BYTES - MAX_WAITING_RESPONSE_BYTES) / 2;

    private final Log log;
    private long usedBytes;
    private long waitingResponseBytes;

    MemoryBudget(Log log) {
        this.log = log;
    }

    /** Adds bytes to the count, even beyond the budget. */
    void reserve(long bytes) {
        usedBytes += bytes;
    }

    /** Subtracts bytes from the count. */
    void release(long bytes) {
        usedBytes -= bytes;
    }

    /** Changes the number of bytes that a response takes which waits for earlier responses of its client. */
    void resizeWaitingResponse(int oldBytes, int newBytes) {
        waitingResponseBytes += newBytes - oldBytes;
        reserve(newBytes - oldBytes);
        if (newBytes > oldBytes && !hasCapacityForWaitingResponse()) {
            log.rateLimited(
                    "answers wait for earlier ones",
                    waitingResponseBytes + " bytes, further commands of a connection run one after another");
        }
    }

    /** Returns whether another response may wait for earlier responses of its client. */
    boolean hasCapacityForWaitingResponse() {
        return waitingResponseBytes + MAX_RESPONSE_BYTES <= MAX_WAITING_RESPONSE_BYTES
                && usedBytes + MAX_RESPONSE_BYTES <= MAX_BYTES;
    }

    /** Returns the number of bytes of responses that wait for earlier ones. */
    long waitingResponseBytes() {
        return waitingResponseBytes;
    }

    /** Returns the number of bytes that are counted now. */
    long usedBytes() {
        return usedBytes;
    }

    /** Returns whether clients' input takes so much of its part of the budget that each client may queue less. */
    boolean isInputScarce() {
        return usedBytes - waitingResponseBytes >= SCARCE_INPUT_BYTES;
    }

    /** Returns whether the budget is used up, so that new requests must be rejected. */
    boolean isExhausted() {
        return usedBytes >= MAX_BYTES;
    }
}
