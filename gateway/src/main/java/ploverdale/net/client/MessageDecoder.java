package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;
import ploverdale.net.postgres.ClientMessage;
import ploverdale.net.postgres.ClientMessageReader;

/**
 * Decodes one client's messages, counts the bytes of an incomplete message in the memory budget, and counts the
 * requests received after the end of the input. Used on the event loop only.
 */
final class MessageDecoder {
    /** Number of requests after the end of the input that are answered individually. */
    private static final int MAX_REQUESTS_AFTER_END = 1000;

    /** Number of undecoded bytes from which the input of a client that has to wait for its turn is paused. */
    private static final int MAX_BACKLOG_BYTES = 64 * 1024;

    /** The same while all clients' input together is scarce; a single request of usual size stays below it. */
    private static final int MAX_SCARCE_BACKLOG_BYTES = 8 * 1024;

    private final ClientMessageReader reader = new ClientMessageReader();
    private final MemoryBudget memory;
    private int countedBytes;
    private int requestsAfterEnd;

    MessageDecoder(MemoryBudget memory) {
        this.memory = memory;
    }

    /** Adds received bytes. */
    void feed(Buffer bytes) {
        reader.feed(bytes);
    }

    /** Returns the next message, or null if it is still incomplete. */
    ClientMessage next() {
        return reader.next();
    }

    /** Returns whether the startup message has been read. */
    boolean isStarted() {
        return reader.startupReceived();
    }

    /** Returns whether received bytes are waiting to be decoded. */
    boolean hasUndecodedBytes() {
        return reader.bufferedBytes() > 0;
    }

    /** Returns whether so many bytes are undecoded that no more may be read while the client waits for its turn. */
    boolean isBacklogFull() {
        return reader.bufferedBytes() >= (memory.isInputScarce() ? MAX_SCARCE_BACKLOG_BYTES : MAX_BACKLOG_BYTES);
    }

    /** Returns the number of bytes that the memory budget counts for this decoder. */
    int countedBytes() {
        return countedBytes;
    }

    /** Updates the memory budget to the size of the buffer that holds the bytes that have not been decoded yet. */
    void countBytes() {
        memory.reserve(reader.bufferCapacity() - countedBytes);
        countedBytes = reader.bufferCapacity();
    }

    /** Removes this decoder's bytes from the memory budget until {@link #countBytes} is called again. */
    void releaseMemory() {
        memory.release(countedBytes);
        countedBytes = 0;
    }

    /**
     * Skips the message at the head of the stream.
     *
     * @return false if the boundaries of later messages cannot be determined
     */
    boolean skipMessage() {
        return reader.skipMessage();
    }

    /**
     * Counts the requests received after the end of the input.
     *
     * @return false if the boundaries of later messages cannot be determined
     */
    boolean countRequestsAfterEnd() {
        boolean skipped = true;
        while (skipped) {
            requestsAfterEnd = Math.min(MAX_REQUESTS_AFTER_END, requestsAfterEnd + reader.skipQueries());
            if (reader.next() == null) { // the messages before it were skipped, so it is incomplete or invalid
                return true;
            }
            skipped = reader.skipMessage();
        }
        return false;
    }

    /** Returns the number of requests received after the end of the input, up to a maximum. */
    int requestsAfterEnd() {
        return requestsAfterEnd;
    }

    /** Discards the bytes that have not been decoded yet. */
    void clear() {
        reader.clear();
    }
}
