package ploverdale.net.client;

/**
 * Estimates whether a client may have closed its connection behind input that has not been read. A close is received
 * after all bytes before it. What is unread may be in this machine's buffer, which a read that fills its own buffer
 * shows, or still in the client's, which sends no more than the receive window allows: so a client that has just sent
 * much may have more to send. Times are monotonic milliseconds. Not thread-safe.
 */
final class UnreadInput {
    /** How long input may be unread before a close behind it counts as missed: half of the 100 ms that are allowed. */
    private static final long MAX_UNREAD_MS = 50;

    /** Period of which the received bytes are counted; longer than TCP may hold back what did not fit the window. */
    private static final long PERIOD_MS = 250;

    /** Bytes in a period from which the client may have more to send: less than the usual initial receive window. */
    private static final long MUCH_BYTES = 48 * 1024;

    /** Pipelined messages in a period up to which these bytes are those of a client that waits for its answers. */
    private static final int FEW_MESSAGES = 16;

    private static final long NOTHING_UNREAD = Long.MAX_VALUE;

    /** The connection may have waited for long to be accepted, and its client may have gone by then. */
    private static final long UNREAD_SINCE_CONNECT = Long.MIN_VALUE / 2;

    private long unreadSinceMs = UNREAD_SINCE_CONNECT;
    private long periodBeganAtMs;
    private long periodBytes;
    private long previousPeriodBytes;
    private int periodMessages;
    private int previousPeriodMessages;
    private boolean readToEnd;
    private boolean paused;

    UnreadInput(long nowMs) {
        this.periodBeganAtMs = nowMs;
    }

    /**
     * Called when bytes have been read.
     *
     * @param leftNothing whether the read left nothing in this machine's buffer
     * @param lagMs how long the bytes may have been waiting
     */
    void onRead(int bytes, boolean leftNothing, long nowMs, long lagMs) {
        advanceTo(nowMs);
        periodBytes += bytes;
        readToEnd = leftNothing;
        if (isMuch() || !leftNothing) {
            unreadSinceMs = Math.min(unreadSinceMs, nowMs - lagMs);
        } else if (!paused) {
            unreadSinceMs = NOTHING_UNREAD;
        }
    }

    /** Called when a message has been decoded before an earlier one was answered: the client does not wait. */
    void onPipelinedMessage() {
        periodMessages++;
    }

    /** Called when reading is paused or resumed. */
    void setPaused(boolean isPaused, long nowMs) {
        advanceTo(nowMs);
        paused = isPaused;
        readToEnd = false; // until the next read
        unreadSinceMs = Math.min(unreadSinceMs, nowMs);
    }

    /** Begins a new period if the current one is over. All has been read once a whole period brought little. */
    private void advanceTo(long nowMs) {
        long elapsedMs = nowMs - periodBeganAtMs;
        if (elapsedMs < PERIOD_MS) {
            return;
        }
        boolean isPrevious = elapsedMs < 2 * PERIOD_MS;
        previousPeriodBytes = isPrevious ? periodBytes : 0;
        previousPeriodMessages = isPrevious ? periodMessages : 0;
        periodBytes = 0;
        periodMessages = 0;
        periodBeganAtMs = nowMs;
        if (!isMuch() && readToEnd && !paused) {
            unreadSinceMs = NOTHING_UNREAD;
        }
    }

    private boolean isMuch() {
        return Math.max(periodBytes, previousPeriodBytes) > MUCH_BYTES
                && Math.max(periodMessages, previousPeriodMessages) > FEW_MESSAGES;
    }

    /**
     * Returns whether the client may have closed the connection too long ago for an attempt to begin.
     *
     * @param leftNothing whether the last read, which may have brought nothing, left nothing in this machine's buffer
     */
    boolean mayHideClose(boolean leftNothing, long nowMs) {
        readToEnd = leftNothing;
        advanceTo(nowMs);
        boolean mayHaveMore = paused || !readToEnd || isMuch();
        return mayHaveMore && unreadSinceMs <= nowMs - MAX_UNREAD_MS;
    }
}
