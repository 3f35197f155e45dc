package ploverdale.routing;

import ploverdale.model.Ticks;
import ploverdale.state.LatencyEstimate;
import ploverdale.state.PendingRequest;

/** Until when a request is worth an attempt, may wait, and has to be answered. */
final class RequestDeadlines {
    /** How often waiting requests are looked at; short beside any latency objective. */
    static final long MAINTENANCE_INTERVAL = Ticks.ofMillis(20);
    /** Kept free before a deadline, so that a tick of the clock does no harm. */
    static final long MARGIN = Ticks.ofMillis(10);

    /** Of a request's timeout, kept for the way of the answer and for delays of this process, after which it would come late. */
    private static final double ANSWER_MARGIN = 0.02;
    /** Of the usual latency, which must be left for an attempt; many requests are shorter. */
    private static final double WORTHWHILE_SHARE = 0.5;

    private RequestDeadlines() {}

    /** When the final answer is due. */
    static long answerBy(PendingRequest request) {
        long timeout = request.timeoutAt() - request.arrivedAt();
        return request.timeoutAt() - (long) (ANSWER_MARGIN * timeout);
    }

    /** Until when an answer has a value. */
    static long valuableUntil(PendingRequest request) {
        boolean hasValueWhenLate = request.requestClass().lateValueShare() > 0;
        long objective = hasValueWhenLate ? Long.MAX_VALUE : request.objectiveAt();
        return Math.min(answerBy(request), objective) - MARGIN;
    }

    /** Whether an attempt at a server with this latency inflation may still be answered in time. */
    static boolean isWorthAttempt(PendingRequest request, double inflation, long now) {
        return valuableUntil(request) - now >= WORTHWHILE_SHARE * request.usualLatency() * inflation;
    }

    /**
     * Until when a request may wait for a server: as long as an attempt makes sense after it, and at most for half of its timeout
     * if it never ran, so that the client has time to try elsewhere.
     */
    static long waitUntil(PendingRequest request) {
        long end = Math.min(valuableUntil(request), request.retryUntil());
        long half = request.mayHaveRun() ? end : (request.arrivedAt() + request.timeoutAt()) / 2 - MARGIN;
        boolean hasValueWhenLate = request.requestClass().lateValueShare() > 0;
        long attemptTime = hasValueWhenLate ? 0 : (long) (LatencyEstimate.RARELY_EXCEEDED * request.usualLatency());
        long shortWait = request.arrivedAt() + 2 * HealthChecker.PROMPT_ANSWER;
        return Math.min(Math.min(end, half), Math.max(end - attemptTime, shortWait)) - MAINTENANCE_INTERVAL;
    }
}
