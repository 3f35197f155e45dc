package ploverdale.shutdown;

/**
 * Decides the phases of one graceful shutdown. A gateway that shuts down continues to serve while it receives requests,
 * since its clients may have no other gateway. Once hardly any requests arrive, it exits at once, since any further
 * delay postpones the start of its successor. All times are milliseconds since SIGTERM. Not thread-safe.
 *
 * <table>
 * <caption>Phases</caption>
 * <tr><th>from</th><th>to</th><th>when</th></tr>
 * <tr><td>SERVING</td><td>CLOSING_IDLE</td><td>few requests arrive, or {@link #closeIdleByMs} is reached</td></tr>
 * <tr><td>SERVING, CLOSING_IDLE</td><td>FINISHED</td><td>there is no client and no request in flight</td></tr>
 * <tr><td>SERVING, CLOSING_IDLE</td><td>ANSWERING</td><td>shortly before the process is killed</td></tr>
 * <tr><td>ANSWERING</td><td>FINISHED</td><td>no request is in flight, or the process is about to be killed</td></tr>
 * <tr><td>CLOSING_IDLE</td><td>SERVING</td><td>many requests arrive again</td></tr>
 * </table>
 */
public final class GracefulShutdown {
    /** The phases of a graceful shutdown. */
    public enum Phase {
        /** The gateway serves as before. */
        SERVING,
        /** The gateway serves, and closes connections without a request in flight. */
        CLOSING_IDLE,
        /** The gateway has stopped reading and answers the requests that it has read. */
        ANSWERING,
        /** The process may exit. */
        FINISHED
    }

    /** Minimum time of serving after the signal, since new connections may still arrive. */
    private static final long MIN_SERVING_MS = 500;

    /** How long before the kill idle connections are closed at the latest; many times the usual time of a request. */
    private static final long CLOSE_IDLE_BEFORE_KILL_MS = 1200;

    /**
     * How long before the kill reading stops. The process may be paused for 150 ms at any moment; the rest is the time
     * that it needs to exit.
     */
    private static final long STOP_READING_BEFORE_KILL_MS = 200;

    /** How long before the kill the process exits, even if its last answers could not be written. */
    private static final long EXIT_BEFORE_KILL_MS = 50;

    /**
     * How long before the kill each request must have been answered, so that a process pause right before the kill
     * loses no answer. An answer that is half a second late merely has no value, but one that the kill prevents is
     * lost.
     */
    private static final long ANSWER_BEFORE_KILL_MS = 500;

    /** Fraction of the request rate before the signal up to which the shutdown ends early. */
    private static final double NEGLIGIBLE_RATE_FRACTION = 0.1;

    /** Time constant by which the request rate decays. */
    private static final double RATE_DECAY_MS = 150;

    /** Minimum time constant, as a number of requests at the rate before the signal; applies if requests are rare. */
    private static final double RATE_DECAY_REQUESTS = 5;

    private final long closeIdleByMs;
    private final long answerByMs;
    private final long stopReadingAtMs;
    private final long exitAtMs;
    private final double rateBeforeSignal;
    private final RequestRate rate;

    /**
     * Creates a shutdown that begins now.
     *
     * @param killedAfterMs time at which the process is killed unconditionally
     * @param requestsPerSecond request rate before the signal
     */
    public GracefulShutdown(long killedAfterMs, double requestsPerSecond) {
        closeIdleByMs = Math.max(MIN_SERVING_MS, killedAfterMs - CLOSE_IDLE_BEFORE_KILL_MS);
        // With short request timeouts, new clients may still arrive half a second before the kill.
        answerByMs = Math.max(MIN_SERVING_MS, killedAfterMs - ANSWER_BEFORE_KILL_MS);
        stopReadingAtMs = killedAfterMs - STOP_READING_BEFORE_KILL_MS;
        exitAtMs = killedAfterMs - EXIT_BEFORE_KILL_MS;
        rateBeforeSignal = requestsPerSecond;
        double rareRequestDecayMs = rateBeforeSignal > 0 ? RATE_DECAY_REQUESTS * 1000 / rateBeforeSignal : 0;
        rate = new RequestRate(Math.max(RATE_DECAY_MS, rareRequestDecayMs));
        rate.startAt(rateBeforeSignal, 0);
    }

    /** Returns the latest time from which idle connections are closed. */
    public long closeIdleByMs() {
        return closeIdleByMs;
    }

    /** Returns the time by which every request in flight must have been answered, whatever its own timeout. */
    public long answerByMs() {
        return answerByMs;
    }

    /** Counts a request that has arrived. */
    public void onRequest(long nowMs) {
        rate.onRequest(nowMs);
    }

    /**
     * Returns the phase at the given time. To be called every few milliseconds.
     *
     * @param clients number of connections whose startup message has been read or whose last responses are unsent
     * @param requestsInFlight number of requests, or of connections with requests, that are read and not answered
     */
    public Phase phaseAt(long nowMs, int clients, int requestsInFlight) {
        if (nowMs >= stopReadingAtMs) {
            return requestsInFlight == 0 || nowMs >= exitAtMs ? Phase.FINISHED : Phase.ANSWERING;
        }
        if (nowMs < MIN_SERVING_MS) {
            return Phase.SERVING;
        }
        if (clients == 0 && requestsInFlight == 0) {
            return Phase.FINISHED;
        }
        return nowMs >= closeIdleByMs || isRateNegligible(nowMs) ? Phase.CLOSING_IDLE : Phase.SERVING;
    }

    private boolean isRateNegligible(long nowMs) {
        return rate.perSecond(nowMs) <= NEGLIGIBLE_RATE_FRACTION * rateBeforeSignal;
    }
}
