package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;
import ploverdale.net.postgres.ClientMessage;
import ploverdale.net.postgres.ClientMessageReader;

/**
 * Decodes one client's messages, counts the bytes of an incomplete one in the memory budget, and counts the requests that
 * come behind the end of the input. Used on the event loop only.
 */
final class MessageDecoder {
    /** Requests behind the end of the input that are answered one by one. */
    private static final int MAX_REQUESTS_AFTER_END = 1000;

    private final ClientMessageReader reader = new ClientMessageReader();
    private final MemoryBudget memory;
    private int countedBytes;
    private int requestsAfterEnd;

    MessageDecoder(MemoryBudget memory) {
        this.memory = memory;
    }

    /** Adds bytes that were received. */
    void feed(Buffer bytes) {
        reader.feed(bytes);
    }

    /** The next message, or null until more bytes have been received. */
    ClientMessage next() {
        return reader.next();
    }

    /** Whether the startup message has been read. */
    boolean isStarted() {
        return reader.startupReceived();
    }

    /** Whether bytes have been received that are not decoded yet. */
    boolean hasUndecodedBytes() {
        return reader.bufferedBytes() > 0;
    }

    /** Bytes that the memory budget counts for this decoder. */
    int countedBytes() {
        return countedBytes;
    }

    /** Brings the memory budget up to date with the bytes that are not decoded yet. */
    void countBytes() {
        memory.reserve(reader.bufferedBytes() - countedBytes);
        countedBytes = reader.bufferedBytes();
    }

    /** Counts nothing in the memory budget until {@link #countBytes} is called again. */
    void releaseMemory() {
        memory.release(countedBytes);
        countedBytes = 0;
    }

    /** Skips the message at the head of the stream; false if no later message can be found in what comes. */
    boolean skipMessage() {
        return reader.skipMessage();
    }

    /** Counts the requests that have come behind the end of the input; false if no later message can be found. */
    boolean countRequestsAfterEnd() {
        ClientMessage message = reader.next();
        while (message != null) {
            if (message.closesConnection()) {
                if (!reader.skipMessage()) {
                    return false;
                }
            } else if (message.expectsQueryResponse()) {
                requestsAfterEnd = Math.min(MAX_REQUESTS_AFTER_END, requestsAfterEnd + 1);
            }
            message = reader.next();
        }
        return true;
    }

    /** Requests that have come behind the end of the input. */
    int requestsAfterEnd() {
        return requestsAfterEnd;
    }

    /** Forgets the bytes that are not decoded yet. */
    void clear() {
        reader.clear();
    }
}
