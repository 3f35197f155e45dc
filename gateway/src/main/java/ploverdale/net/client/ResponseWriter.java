package ploverdale.net.client;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import ploverdale.log.Log;

/**
 * Writes one client's responses and notices a client that does not read: while the socket's write queue is full, no further
 * command of that client runs, and after a time limit its connection is closed. Used on the event loop only.
 */
final class ResponseWriter {
    private final Vertx vertx;
    private final Log log;
    private final NetSocket socket;
    private final MemoryBudget memory;
    private final long readTimeoutMs;
    private final Runnable onDrained;
    private final Runnable onReadTimeout;
    private boolean blocked;
    private long unreadBytes;

    /**
     * @param onDrained called when the client has read what was written
     * @param onReadTimeout called when the client has not read for the time limit
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

    /** Whether the client has to read before any of its commands runs. */
    boolean isBlocked() {
        return blocked;
    }

    /** Writes a response, counted while the client does not read. */
    void write(Buffer response) {
        socket.write(response);
        if (blocked || socket.writeQueueFull()) {
            unreadBytes += response.length();
            memory.reserve(response.length());
        }
    }

    /** Waits for the client to read, if the write queue is full and this is not waiting yet. */
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

    /** Counts what the client has not read no longer. */
    void releaseMemory() {
        memory.release(unreadBytes);
        unreadBytes = 0;
    }
}
