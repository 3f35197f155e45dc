package ploverdale.net.client;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import ploverdale.log.Log;

/**
 * Writes one client's responses and detects a client that does not read them: while the socket's write queue is full,
 * no further command of that client runs, and after a time limit its connection is closed. Used on the event loop only.
 */
final class ResponseWriter {
    /** Size from which responses are sent before others are added; larger responses are not copied. */
    private static final int MAX_BATCH_BYTES = 16 * 1024;

    private final Vertx vertx;
    private final Log log;
    private final NetSocket socket;
    private final MemoryBudget memory;
    private final long readTimeoutMs;
    private final Runnable onDrained;
    private final Runnable onReadTimeout;
    private Buffer unsent = Buffer.buffer();
    private boolean blocked;
    private long unreadBytes;

    /**
     * @param onDrained called when the client has read what was written
     * @param onReadTimeout called when the client has read nothing within the time limit
     */
    ResponseWriter(ClientRuntime runtime, NetSocket socket, Runnable onDrained, Runnable onReadTimeout) {
        this.vertx = runtime.vertx();
        this.log = runtime.log();
        this.memory = runtime.memory();
        this.readTimeoutMs = runtime.readTimeoutMs();
        this.socket = socket;
        this.onDrained = onDrained;
        this.onReadTimeout = onReadTimeout;
    }

    /** Returns whether the client must read responses before its next command runs. */
    boolean isBlocked() {
        return blocked;
    }

    /** Adds a response to those that the next {@link #send} writes; sends those before it if they are large. */
    void write(Buffer response) {
        if (unsent.length() + response.length() > MAX_BATCH_BYTES) {
            send();
        }
        if (response.length() > MAX_BATCH_BYTES) {
            sendNow(response);
        } else {
            unsent.appendBuffer(response);
        }
    }

    /** Sends all responses written so far, with one system call if possible. */
    void send() {
        if (unsent.length() > 0) {
            Buffer batch = unsent;
            unsent = Buffer.buffer();
            sendNow(batch);
        }
    }

    /** Sends bytes; counts them in the memory budget if the client is not reading. */
    private void sendNow(Buffer bytes) {
        socket.write(bytes);
        if (blocked || socket.writeQueueFull()) {
            unreadBytes += bytes.length();
            memory.reserve(bytes.length());
        }
    }

    /** Blocks this writer until the client reads, if the write queue is full. */
    void blockWhileFull() {
        if (blocked || !socket.writeQueueFull()) {
            return;
        }
        blocked = true;
        long timeout = vertx.setTimer(readTimeoutMs, timer -> {
            log.rateLimited("client that does not read", "closed after " + readTimeoutMs + " ms");
            onReadTimeout.run();
        });
        socket.drainHandler(drained -> {
            vertx.cancelTimer(timeout);
            blocked = false;
            releaseMemory();
            onDrained.run();
        });
    }

    /** Discards the responses that have not been sent, and removes the unread bytes from the memory budget. */
    void release() {
        unsent = Buffer.buffer();
        releaseMemory();
    }

    private void releaseMemory() {
        memory.release(unreadBytes);
        unreadBytes = 0;
    }
}
