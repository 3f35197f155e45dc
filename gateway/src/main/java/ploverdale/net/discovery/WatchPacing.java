package ploverdale.net.discovery;

/**
 * Limits what an agent that answers its watches immediately takes of the event loop. A watch that is held until the
 * list changes, as it should be, is followed by the next one at once.
 */
final class WatchPacing {
    /** Time between the start of a watch and that of the next one. */
    static final long MIN_INTERVAL_MS = 50;

    /** How many times as long as the handling of an answer the pause after it is. */
    static final long PAUSE_PER_HANDLING = 4;

    /** Keeps the pause below 200 ms, within which the agent takes the next call for a continuation of the watch. */
    static final long MAX_PAUSE_MS = 100;

    private WatchPacing() {}

    /**
     * Returns the time from the handling of an answer to the next watch.
     *
     * @param intervalMs time since the watch that was answered was started
     * @param handlingMs how long it took to handle the answer
     */
    static long pauseMs(long intervalMs, long handlingMs) {
        long untilNextWatch = MIN_INTERVAL_MS - intervalMs;
        long afterHandling = Math.min(MAX_PAUSE_MS, PAUSE_PER_HANDLING * handlingMs);
        return Math.max(0, Math.max(untilNextWatch, afterHandling));
    }
}
