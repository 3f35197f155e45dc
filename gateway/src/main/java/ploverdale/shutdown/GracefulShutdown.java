package ploverdale.shutdown;

/**
 * Decides the phases of one graceful shutdown. A gateway that shuts down keeps serving while it gets requests, since its
 * clients may have no other gateway; once hardly any arrive, it ends at once, since each further moment delays its successor.
 * All times are milliseconds since the signal. Not thread-safe.
 *
 * <table>
 * <caption>Phases</caption>
 * <tr><th>from</th><th>to</th><th>when</th></tr>
 * <tr><td>SERVING</td><td>CLOSING_IDLE</td><td>hardly any requests arrive, or {@link #closeIdleByMs} is reached</td></tr>
 * <tr><td>SERVING, CLOSING_IDLE</td><td>FINISHED</td><td>no client and no request is left</td></tr>
 * <tr><td>SERVING, CLOSING_IDLE</td><td>ANSWERING</td><td>shortly before the platform kills the process</td></tr>
 * <tr><td>ANSWERING</td><td>FINISHED</td><td>no request is left, or the process is about to be killed</td></tr>
 * <tr><td>CLOSING_IDLE</td><td>SERVING</td><td>many requests arrive again</td></tr>
 * </table>
 */
public final class GracefulShutdown {
    /** What the gateway does at a time. */
    public enum Phase {
        /** Serves as before. */
        SERVING,
        /** Serves, and closes connections without a request in flight. */
        CLOSING_IDLE,
        /** Reads nothing more and answers what it has read. */
        ANSWERING,
        /** The process may exit. */
        FINISHED
    }

    /** New connections may still arrive for so long, and are served as before. */
    private static final long NEW_CONNECTIONS_MS = 500;

    /** Left for requests in flight once idle connections are closed; many times what a request usually takes. */
    private static final long CLOSING_MS = 1200;

    /** Before the kill, when reading stops: the process may be paused for 150 ms at any moment, the rest is for its exit. */
    private static final long STOP_READING_BEFORE_KILL_MS = 200;

    /** Before the kill, when the process exits even without its last answers, if they cannot be written. */
    private static final long EXIT_BEFORE_KILL_MS = 50;

    /**
     * Before the kill, when each request is to have its answer, so that a pause of the process right before the end loses
     * none. An answer that is half a second late has merely no value; one that the kill cuts off is lost.
     */
    private static final long ANSWERED_BEFORE_KILL_MS = 500;

    /** Of the request rate before the signal; below it the shutdown ends early. */
    private static final double NEGLIGIBLE_RATE = 0.1;

    private static final double RATE_DECAY_MS = 150;

    /** Where requests are rare, the rate decays over as many requests instead. */
    private static final double RATE_DECAY_REQUESTS = 5;

    private final long closeIdleByMs;
    private final long answerByMs;
    private final long stopReadingAtMs;
    private final long exitAtMs;
    private final double rateBefore;
    private final RequestRate rate;

    /**
     * A shutdown that begins now.
     *
     * @param killedAfterMs when the platform kills the process, whatever it does
     * @param requestsPerSecond the rate before the signal
     */
    public GracefulShutdown(long killedAfterMs, double requestsPerSecond) {
        closeIdleByMs = Math.max(NEW_CONNECTIONS_MS, killedAfterMs - CLOSING_MS);
        // With short request timeouts the kill is so near that half a second before it new clients still arrive.
        answerByMs = Math.max(NEW_CONNECTIONS_MS, killedAfterMs - ANSWERED_BEFORE_KILL_MS);
        stopReadingAtMs = killedAfterMs - STOP_READING_BEFORE_KILL_MS;
        exitAtMs = killedAfterMs - EXIT_BEFORE_KILL_MS;
        rateBefore = requestsPerSecond;
        double decayOfRareMs = rateBefore > 0 ? RATE_DECAY_REQUESTS * 1000 / rateBefore : 0;
        rate = new RequestRate(Math.max(RATE_DECAY_MS, decayOfRareMs));
        rate.startAt(rateBefore, 0);
    }

    /** The latest time at which idle connections begin to be closed. */
    public long closeIdleByMs() {
        return closeIdleByMs;
    }

    /** When each request in flight is to have its answer, however long its own timeout is. */
    public long answerByMs() {
        return answerByMs;
    }

    /** Counts a request that has arrived. */
    public void onRequest(long nowMs) {
        rate.onRequest(nowMs);
    }

    /**
     * The phase at a time; to be asked every few milliseconds.
     *
     * @param clients connections whose clients have completed the start-up of the protocol
     * @param requestsInFlight requests that were accepted, or at least read, and are not answered yet
     */
    public Phase phaseAt(long nowMs, int clients, int requestsInFlight) {
        if (nowMs >= stopReadingAtMs) {
            return requestsInFlight == 0 || nowMs >= exitAtMs ? Phase.FINISHED : Phase.ANSWERING;
        }
        if (nowMs < NEW_CONNECTIONS_MS) {
            return Phase.SERVING;
        }
        if (clients == 0 && requestsInFlight == 0) {
            return Phase.FINISHED;
        }
        return nowMs >= closeIdleByMs || isRateNegligible(nowMs) ? Phase.CLOSING_IDLE : Phase.SERVING;
    }

    private boolean isRateNegligible(long nowMs) {
        return rate.perSecond(nowMs) <= NEGLIGIBLE_RATE * rateBefore;
    }
}
