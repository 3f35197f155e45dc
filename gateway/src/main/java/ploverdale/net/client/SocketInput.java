package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import ploverdale.net.eventloop.NioSockets;

/** The input side of a client's socket: pauses it, or reads it immediately if required. Used on the event loop only. */
final class SocketInput {
    /**
     * A connection whose last read is older than this is read once more before an attempt is sent. No attempt may be
     * sent more than 100 ms after its client has closed the connection.
     */
    private static final long FRESH_READ_MS = 20;

    private static final int MAX_READS_AT_ONCE = 4;

    private final NetSocket socket;
    private boolean paused;
    private long lastReadAtMs;
    private long bytesReceived;

    SocketInput(NetSocket socket, long nowMs) {
        this.socket = socket;
        this.lastReadAtMs = nowMs;
    }

    /** Called when bytes have been received. */
    void onBytes(Buffer bytes, long nowMs) {
        lastReadAtMs = nowMs;
        bytesReceived += bytes.length();
    }

    /** Returns whether reading is paused because too much is queued. */
    boolean isPaused() {
        return paused;
    }

    /** Pauses or resumes reading; does nothing if the state is unchanged. */
    void setPaused(boolean shouldPause) {
        if (shouldPause == paused) {
            return;
        }
        paused = shouldPause;
        if (shouldPause) {
            NioSockets.stopReading(socket);
        } else {
            NioSockets.resumeReading(socket);
        }
    }

    /** Reads immediately what the operating system has received. */
    void readNow() {
        NioSockets.readNow(socket);
    }

    /** Stops reading for good. */
    void stop() {
        NioSockets.stopReading(socket);
    }

    /** Returns whether the connection has been read recently. */
    boolean isFresh(long nowMs) {
        return nowMs - lastReadAtMs < FRESH_READ_MS;
    }

    /**
     * Reads until no more bytes are available, since the close of a connection is received after its bytes.
     *
     * @return whether the client has closed the connection
     */
    boolean readToEnd(ClientSession session) {
        long bytesBefore = -1;
        for (int i = 0; i < MAX_READS_AT_ONCE && bytesReceived != bytesBefore && !session.isClosed(); i++) {
            bytesBefore = bytesReceived;
            readNow();
        }
        return !NioSockets.isOpen(socket);
    }

    /** Records that the connection was read at this time. */
    void markRead(long nowMs) {
        lastReadAtMs = nowMs;
    }
}
