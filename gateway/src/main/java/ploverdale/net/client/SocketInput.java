package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import ploverdale.net.eventloop.NioSockets;

/** The input side of one client's socket: pauses it, and reads it at once where that matters. Used on the event loop only. */
final class SocketInput {
    /**
     * An attempt may begin up to 100 ms after its client closed; a connection that was read longer ago than this is read once
     * more before an attempt begins.
     */
    private static final long READ_FRESH_MS = 20;

    private static final int MAX_READS_AT_ONCE = 4;

    private final NetSocket socket;
    private boolean paused;
    private long lastReadAtMs;
    private long bytesReceived;

    SocketInput(NetSocket socket, long nowMs) {
        this.socket = socket;
        this.lastReadAtMs = nowMs;
    }

    /** Notes that bytes were received. */
    void onBytes(Buffer bytes, long nowMs) {
        lastReadAtMs = nowMs;
        bytesReceived += bytes.length();
    }

    /** Whether reading is paused because too much is queued. */
    boolean isPaused() {
        return paused;
    }

    /** Pauses or resumes reading, if that is a change. */
    void setPaused(boolean pause) {
        if (pause == paused) {
            return;
        }
        paused = pause;
        if (pause) {
            socket.pause();
        } else {
            socket.resume();
        }
    }

    /** Reads at once what the operating system has received. */
    void readNow() {
        NioSockets.readNow(socket);
    }

    /** Reads nothing more. */
    void stop() {
        NioSockets.stopReading(socket);
    }

    /** Whether the connection was read a moment ago. */
    boolean isFresh(long nowMs) {
        return nowMs - lastReadAtMs < READ_FRESH_MS;
    }

    /** Reads until nothing more comes, since the end of a connection follows its bytes; true if that has come. */
    boolean readToEnd(ClientSession session) {
        long before = -1;
        for (int i = 0; i < MAX_READS_AT_ONCE && bytesReceived != before && !session.isClosed(); i++) {
            before = bytesReceived;
            readNow();
        }
        return !NioSockets.isOpen(socket);
    }

    /** Takes what was read as fresh from now on. */
    void markRead(long nowMs) {
        lastReadAtMs = nowMs;
    }
}
