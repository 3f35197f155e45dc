package ploverdale.routing;

import ploverdale.model.Capabilities;
import ploverdale.model.Event.Outcome;
import ploverdale.model.Quota;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClass.Idempotence;
import ploverdale.model.RequestClass.Scope;
import ploverdale.state.LatencyEstimate;
import ploverdale.state.PendingRequest;
import ploverdale.state.ServerState;

/**
 * Decides whether and where a request may be attempted again, which attempts end early so that a retry is in time, and what a
 * request that ends without success may promise its client. Retries are a small part of all attempts (a retry budget), so that
 * they cannot become a storm.
 */
final class RetryPolicy {
    /** Of the latency objective, after which a rejected request may be submitted again; later would be in vain. */
    static final double RESUBMIT_AFTER = 0.25;

    private final DecisionContext context;
    private final Capabilities capabilities;
    private final Quota quota;
    private int reservedRetries;

    RetryPolicy(DecisionContext context, Capabilities capabilities, Quota quota) {
        this.context = context;
        this.capabilities = capabilities;
        this.quota = quota;
    }

    /** Whether the request may be attempted, for the first time or again. */
    boolean mayAttempt(PendingRequest request) {
        if (request.attempts() >= capabilities.attemptsPerRequest()) {
            return false;
        }
        return !request.mayHaveRun()
                || request.idempotence() != Idempotence.NOT_IDEMPOTENT && context.now() < request.retryUntil();
    }

    /** Whether the server would recognize a repeat: a request with an idempotency key that may have run goes nowhere else. */
    boolean recognizesRepeat(PendingRequest request, ServerState server) {
        if (!request.mayHaveRun() || request.idempotence() != Idempotence.WITH_IDEMPOTENCY_KEY) {
            return true;
        }
        ServerState executor = request.firstPossibleExecutor();
        return switch (request.requestClass().idempotencyScope()) {
            case ALL -> true;
            case GROUP -> server.group().equals(executor.group());
            case ZONE -> server.lifecycle().zone().equals(executor.lifecycle().zone());
        };
    }

    /** Takes note of an attempt's end that does not prove that the request did not run. */
    void recordOutcome(PendingRequest request, ServerState server, Outcome outcome) {
        if (outcome.provesNotRun() || request.mayHaveRun()) {
            return;
        }
        boolean hasKey = request.idempotence() == Idempotence.WITH_IDEMPOTENCY_KEY;
        long windowEnd =
                request.attemptStartedAt() + request.requestClass().idempotencyWindow() - RequestDeadlines.MARGIN;
        request.recordPossibleRun(server, hasKey ? windowEnd : Long.MAX_VALUE);
    }

    /** Whether the retry budget has a retry; a write that met a server which is not the primary needs none. */
    boolean tryAcquireRetry(PendingRequest request, Outcome outcome) {
        boolean wrongPrimary = outcome == Outcome.MISDIRECTED && request.isWrite();
        return wrongPrimary || quota.tryAcquireRetry();
    }

    /** When an attempt that begins now at this server is given up early, in favour of a retry. */
    long earlyTimeoutAt(PendingRequest request, ServerState server) {
        double inflation = server.load().inflation(context.now());
        return context.now() + (long) (LatencyEstimate.RARELY_EXCEEDED * request.usualLatency() * inflation);
    }

    /**
     * Whether an attempt at this server is to end early: the server's answers often get lost, and a retry may follow, can be paid
     * for, and would still be in time.
     */
    boolean endsEarly(PendingRequest request, ServerState server) {
        boolean retryFollows =
                request.attempts() + 1 < capabilities.attemptsPerRequest() && quota.hasRetry(reservedRetries);
        if (!retryFollows || !server.answerLoss().isNotable() || request.idempotence() == Idempotence.NOT_IDEMPOTENT) {
            return false;
        }
        double expected = request.usualLatency() * server.load().inflation(context.now());
        return RequestDeadlines.valuableUntil(request) - earlyTimeoutAt(request, server) > expected;
    }

    /** Reserves the retry that follows an attempt which ends early. */
    void reserveRetry() {
        reservedRetries++;
    }

    /** Releases the retry that was reserved for the request's attempt, if one was. */
    void releaseRetry(PendingRequest request) {
        if (request.hasEarlyTimeout()) {
            reservedRetries--;
            request.clearEarlyTimeout();
        }
    }

    /** Whether the client may submit the request again without the risk of a second effect. */
    boolean isSafeToResubmit(PendingRequest request) {
        RequestClass requestClass = request.requestClass();
        return !request.mayHaveRun()
                || request.idempotence() == Idempotence.IDEMPOTENT
                || request.idempotence() == Idempotence.WITH_IDEMPOTENCY_KEY
                        && requestClass.idempotencyScope() == Scope.ALL;
    }

    /** After how long the client may submit the request again; 0 where it may not be told. */
    long retryAfter(PendingRequest request) {
        long quotaPause = request.isBeyondAgreedTraffic()
                ? quota.retryAfter(context.now(), request.arrival().tenant())
                : 0;
        long pause = (long) (RESUBMIT_AFTER * request.requestClass().latencyObjective());
        long longest = Math.min(Math.max(pause, quotaPause), capabilities.longestRetryAfter());
        return capabilities.retryAfterAllowed() ? longest : 0;
    }
}
