package ploverdale.shutdown;

/**
 * The course of one planned restart. A gateway that leaves serves on for as long as it is asked: those who are connected
 * may have nowhere else to go. Once hardly anyone asks any more, each further moment is one without the gateway that comes
 * after it, so it ends at once. Times in milliseconds from the word to leave.
 */
public final class GracefulShutdown {
    /** What to do now: serve on, end connections that wait for nothing, only answer what has been read, or stop. */
    public enum Step {
        SERVES,
        ENDS,
        FINISHES,
        OVER
    }

    private static final long STILL_ARRIVING_MS = 500; // new connections are served as before
    private static final long ENDING_TAKES_MS = 1200; // for ops in hand, many times what one usually takes
    // The process may be paused for 150 ms at any moment; what is left of this is for the exit itself.
    private static final long SPARE_MS = 200;
    private static final long EXIT_MS = 50; // without its last answers, if they cannot be written
    // Guards against a standstill right before the end: elsewhere an answer half a second late is only worth nothing,
    // but
    // whatever the platform's kill finds unanswered is lost.
    private static final long ANSWERED_BEFORE_MS = 500;
    private static final double HARDLY_ANYONE = 0.1; // of the ops a second before
    private static final double LOOKS_BACK_MS = 150;
    private static final double LOOKS_BACK_OPS = 5; // where few ask, further back

    private final long endsBy;
    private final long answersBy;
    private final long readsUntil;
    private final long overBy;
    private final double before;
    private final Traffic lately;

    /**
     * @param killedAfterMs when the platform ends the process, whatever it does
     * @param requestsPerSecond asked lately
     */
    public GracefulShutdown(long killedAfterMs, double requestsPerSecond) {
        endsBy = Math.max(STILL_ARRIVING_MS, killedAfterMs - ENDING_TAKES_MS);
        // With short op timeouts the end is so near that half a second before it clients still arrive, who are to be
        // served.
        answersBy = Math.max(STILL_ARRIVING_MS, killedAfterMs - ANSWERED_BEFORE_MS);
        readsUntil = killedAfterMs - SPARE_MS;
        overBy = killedAfterMs - EXIT_MS;
        before = requestsPerSecond;
        lately = new Traffic(Math.max(LOOKS_BACK_MS, before > 0 ? LOOKS_BACK_OPS * 1000 / before : 0));
        lately.startAt(before, 0);
    }

    /** The latest time at which it begins to end connections. */
    public long endsBy() {
        return endsBy;
    }

    /** When each op in hand is to have its answer, however long its client would wait. */
    public long answersBy() {
        return answersBy;
    }

    /** An op has come. */
    public void asked(long ms) {
        lately.request(ms);
    }

    /**
     * What to do; asked every few milliseconds.
     *
     * @param clients that have greeted
     * @param requestsInFlight taken or at least read, and not yet answered
     */
    public Step at(long ms, int clients, int requestsInFlight) {
        if (ms >= readsUntil) {
            return requestsInFlight == 0 || ms >= overBy ? Step.OVER : Step.FINISHES;
        }
        if (ms < STILL_ARRIVING_MS) {
            return Step.SERVES;
        }
        if (clients == 0 && requestsInFlight == 0) {
            return Step.OVER;
        }
        return ms >= endsBy || lately.perSecond(ms) <= HARDLY_ANYONE * before ? Step.ENDS : Step.SERVES;
    }
}
