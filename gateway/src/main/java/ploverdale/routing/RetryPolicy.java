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
 * Decides whether and at which servers a request may be retried, which attempts get an early timeout so that a retry is
 * in time, and whether the client of an unsuccessful request may submit it again. A retry budget keeps retries to a
 * small fraction of all attempts, which prevents retry storms.
 */
final class RetryPolicy {
    /**
     * Fraction of the latency objective after which a client may submit a rejected request again. After a longer delay
     * the answer would hardly meet the objective.
     */
    static final double RESUBMIT_DELAY_SHARE = 0.25;

    private final DecisionContext context;
    private final Capabilities capabilities;
    private final Quota quota;
    private int reservedRetries;

    RetryPolicy(DecisionContext context, Capabilities capabilities, Quota quota) {
        this.context = context;
        this.capabilities = capabilities;
        this.quota = quota;
    }

    /** Whether the request may have a first or a further attempt now. */
    boolean mayAttempt(PendingRequest request) {
        if (request.attempts() >= capabilities.attemptsPerRequest()) {
            return false;
        }
        return !request.mayHaveRun()
                || request.idempotence() != Idempotence.NOT_IDEMPOTENT && context.now() < request.retryUntil();
    }

    /**
     * Whether an attempt at this server is safe with regard to earlier attempts. A request with an idempotency key that
     * may have run must only be retried at servers that recognize its key.
     */
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

    /** Records the outcome of an attempt, if it leaves open whether the request ran. */
    void recordOutcome(PendingRequest request, ServerState server, Outcome outcome) {
        if (outcome.provesNotRun() || request.mayHaveRun()) {
            return;
        }
        boolean hasKey = request.idempotence() == Idempotence.WITH_IDEMPOTENCY_KEY;
        long windowEnd =
                request.attemptStartedAt() + request.requestClass().idempotencyWindow() - RequestDeadlines.DEADLINE_MARGIN;
        request.recordPossibleRun(server, hasKey ? windowEnd : Long.MAX_VALUE);
    }

    /**
     * Acquires a retry from the retry budget; returns false if it has none. A write that was sent to a server that is
     * not the primary is retried without using the budget.
     */
    boolean tryAcquireRetry(PendingRequest request, Outcome outcome) {
        boolean wrongPrimary = outcome == Outcome.MISDIRECTED && request.isWrite();
        return wrongPrimary || quota.tryAcquireRetry();
    }

    /** Returns when an attempt that begins now at this server times out, if it gets an early timeout. */
    long earlyTimeoutAt(PendingRequest request, ServerState server) {
        double inflation = server.load().inflation(context.now());
        return context.now() + (long) (LatencyEstimate.RARELY_EXCEEDED * request.usualLatency() * inflation);
    }

    /**
     * Whether an attempt at this server gets an early timeout. It does if the server's answers often get lost, and a
     * retry is permitted, is within the retry budget, and would still be in time.
     */
    boolean needsEarlyTimeout(PendingRequest request, ServerState server) {
        boolean retryFollows =
                request.attempts() + 1 < capabilities.attemptsPerRequest() && quota.hasRetry(reservedRetries);
        if (!retryFollows || !server.answerLoss().isNotable() || request.idempotence() == Idempotence.NOT_IDEMPOTENT) {
            return false;
        }
        double expectedLatency = request.usualLatency() * server.load().inflation(context.now());
        return RequestDeadlines.valuableUntil(request) - earlyTimeoutAt(request, server) > expectedLatency;
    }

    /** Reserves a retry for an attempt with an early timeout. */
    void reserveRetry() {
        reservedRetries++;
    }

    /** Releases the retry that is reserved for the request's attempt, if any. */
    void releaseRetry(PendingRequest request) {
        if (request.hasEarlyTimeout()) {
            reservedRetries--;
            request.clearEarlyTimeout();
        }
    }

    /** Whether the client may submit the request again without the risk that it takes effect twice. */
    boolean isSafeToResubmit(PendingRequest request) {
        RequestClass requestClass = request.requestClass();
        return !request.mayHaveRun()
                || request.idempotence() == Idempotence.IDEMPOTENT
                || request.idempotence() == Idempotence.WITH_IDEMPOTENCY_KEY
                        && requestClass.idempotencyScope() == Scope.ALL;
    }

    /**
     * Returns after how long the client may submit the request again; 0 if the settings do not permit to state that.
     */
    long retryAfter(PendingRequest request) {
        long quotaRetryAfter = request.isBeyondAgreedTraffic()
                ? quota.retryAfter(context.now(), request.arrival().tenant())
                : 0;
        long resubmitDelay = (long) (RESUBMIT_DELAY_SHARE * request.requestClass().latencyObjective());
        long delay = Math.min(Math.max(resubmitDelay, quotaRetryAfter), capabilities.maxRetryAfter());
        return capabilities.retryAfterAllowed() ? delay : 0;
    }
}
