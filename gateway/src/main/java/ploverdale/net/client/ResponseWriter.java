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

    /** Writes a response; counts its bytes in the memory budget if the client is not reading. */
    void write(Buffer response) {
        socket.write(response);
        if (blocked || socket.writeQueueFull()) {
            unreadBytes += response.length();
            memory.reserve(response.length());
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

    /** Removes the unread bytes from the memory budget. */
    void releaseMemory() {
        memory.release(unreadBytes);
        unreadBytes = 0;
    }
}
