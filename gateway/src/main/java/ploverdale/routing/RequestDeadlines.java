package ploverdale.routing;

import ploverdale.model.Ticks;
import ploverdale.state.LatencyEstimate;
import ploverdale.state.PendingRequest;

/**
 * Computes until when a request is worth an attempt, may wait for a server, and has to be answered. Times are
 * {@link Ticks}.
 */
final class RequestDeadlines {
    /** Interval at which waiting requests are dispatched again; short compared with any latency objective. */
    static final long MAINTENANCE_INTERVAL = Ticks.ofMillis(20);
    /** Time that is left before a deadline, so that the resolution of the clock does not make an answer late. */
    static final long DEADLINE_MARGIN = Ticks.ofMillis(10);

    /**
     * Fraction of a request's timeout that is reserved for the transfer of the answer to the client and for delays of
     * this process; otherwise the answer could arrive after the timeout.
     */
    private static final double ANSWER_MARGIN_SHARE = 0.02;
    /**
     * Fraction of the usual latency that must be left for an attempt to be worthwhile; many requests take less than
     * usual.
     */
    private static final double WORTHWHILE_SHARE = 0.5;

    private RequestDeadlines() {}

    /** Returns the time by which the request must have its final answer. */
    static long answerBy(PendingRequest request) {
        long timeout = request.timeoutAt() - request.arrivedAt();
        return request.timeoutAt() - (long) (ANSWER_MARGIN_SHARE * timeout);
    }

    /**
     * Returns until when an answer has a value: until the latency objective, or until the timeout if a late answer has
     * a value.
     */
    static long valuableUntil(PendingRequest request) {
        boolean hasValueWhenLate = request.requestClass().lateValueShare() > 0;
        long objective = hasValueWhenLate ? Long.MAX_VALUE : request.objectiveAt();
        return Math.min(answerBy(request), objective) - DEADLINE_MARGIN;
    }

    /**
     * Whether an attempt that begins now at a server with this latency inflation is likely enough to be answered in
     * time.
     */
    static boolean isWorthAttempt(PendingRequest request, double inflation, long now) {
        return valuableUntil(request) - now >= WORTHWHILE_SHARE * request.usualLatency() * inflation;
    }

    /**
     * Returns until when a request may wait for a server: as long as enough time is left for an attempt after the wait.
     * A request that cannot have run waits for at most half of its timeout, so that the client has time to submit it to
     * another gateway.
     */
    static long waitUntil(PendingRequest request) {
        long latest = Math.min(valuableUntil(request), request.retryUntil());
        long waitLimit = request.mayHaveRun() ? latest : (request.arrivedAt() + request.timeoutAt()) / 2 - DEADLINE_MARGIN;
        boolean hasValueWhenLate = request.requestClass().lateValueShare() > 0;
        long attemptDuration = hasValueWhenLate ? 0 : (long) (LatencyEstimate.RARELY_EXCEEDED * request.usualLatency());
        long shortWaitUntil = request.arrivedAt() + 2 * HealthChecker.PROMPT_ANSWER;
        return Math.min(Math.min(latest, waitLimit), Math.max(latest - attemptDuration, shortWaitUntil)) - MAINTENANCE_INTERVAL;
    }
}
