package ploverdale.net.client;

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

    private static final long LONG_AGO_MS = Long.MIN_VALUE / 2;

    private final NetSocket socket;
    private final UnreadInput unread;
    private boolean paused;
    private boolean seenOpen;
    private long lastReadAtMs;

    SocketInput(NetSocket socket, long nowMs) {
        this.socket = socket;
        this.lastReadAtMs = nowMs;
        this.unread = new UnreadInput(nowMs);
    }

    /**
     * Called when bytes have been received.
     *
     * @param lagMs how long the bytes may have been waiting
     */
    void onBytes(int bytes, long nowMs, long lagMs) {
        lastReadAtMs = nowMs;
        unread.onRead(bytes, NioSockets.lastReadWasShort(socket), nowMs, lagMs);
    }

    /** Returns whether reading is paused because too much is queued. */
    boolean isPaused() {
        return paused;
    }

    /** Pauses or resumes reading; does nothing if the state is unchanged. */
    void setPaused(boolean shouldPause, long nowMs) {
        if (shouldPause == paused) {
            return;
        }
        paused = shouldPause;
        lastReadAtMs = LONG_AGO_MS; // a read before the pause tells nothing of what comes after it
        unread.setPaused(shouldPause, nowMs);
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

    /**
     * Returns whether the connection has been read to its end recently. False before the first time that it was read
     * for this purpose: it may have waited to be accepted, with its close right behind the bytes read so far.
     */
    boolean isFresh(long nowMs) {
        return seenOpen && nowMs - lastReadAtMs < FRESH_READ_MS && !mayHaveUnreadInput();
    }

    /** Returns whether reading is paused, or the last read may have left input unread. */
    boolean mayHaveUnreadInput() {
        return paused || !NioSockets.lastReadWasShort(socket);
    }

    /** Returns whether the client may have closed the connection a while ago, behind input that is unread. */
    boolean mayHideClose(long nowMs) {
        return unread.mayHideClose(NioSockets.lastReadWasShort(socket), nowMs);
    }

    /** Called when a message has been decoded before an earlier one was answered. */
    void onPipelinedMessage() {
        unread.onPipelinedMessage();
    }

    /**
     * Reads until no more bytes are available, since the close of a connection is received after its bytes. Stops early
     * while the input is paused, or after a few reads.
     *
     * @return whether the client has closed the connection
     */
    boolean readToEnd(ClientSession session) {
        readNow();
        for (int i = 1; i < MAX_READS_AT_ONCE && mayHaveUnreadInput() && !paused && !session.isClosed(); i++) {
            readNow();
        }
        return !NioSockets.isOpen(socket);
    }

    /** Records that the connection was read at this time. */
    void markRead(long nowMs) {
        seenOpen = true;
        lastReadAtMs = nowMs;
    }
}
