package ploverdale.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ploverdale.model.Action;
import ploverdale.model.Event.Outcome;
import ploverdale.model.Event.RequestArrived;
import ploverdale.model.Quota;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClass.Consistency;
import ploverdale.model.RequestClass.Idempotence;
import ploverdale.model.RequestId;
import ploverdale.model.WriteConditions;
import ploverdale.state.PendingRequest;
import ploverdale.state.ReplicaGroup;
import ploverdale.state.ServerState;

/** Takes each request from its arrival through its attempts to its final answer; every request gets exactly one. */
final class RequestDispatcher {
    private final DecisionContext context;
    private final RoutingSettings settings;
    private final ServerDirectory directory;
    private final Quota quota;
    private final LatencyEstimates latencies;
    private final StalenessFilter stalenessFilter;
    private final ServerSelector selector;
    private final AdmissionController admission;
    private final RetryPolicy retryPolicy;
    private final SlowStart slowStart;
    private final AttemptCanceller canceller;
    private final Map<RequestId, PendingRequest> requests = new LinkedHashMap<>();

    /** The collaborators of the dispatcher. */
    record Dependencies(
            DecisionContext context,
            RoutingSettings settings,
            ServerDirectory directory,
            Quota quota,
            LatencyEstimates latencies,
            StalenessFilter stalenessFilter,
            ServerSelector selector,
            AdmissionController admission,
            RetryPolicy retryPolicy,
            SlowStart slowStart,
            AttemptCanceller canceller) {}

    RequestDispatcher(Dependencies dependencies) {
        context = dependencies.context;
        settings = dependencies.settings;
        directory = dependencies.directory;
        quota = dependencies.quota;
        latencies = dependencies.latencies;
        stalenessFilter = dependencies.stalenessFilter;
        selector = dependencies.selector;
        admission = dependencies.admission;
        retryPolicy = dependencies.retryPolicy;
        slowStart = dependencies.slowStart;
        canceller = dependencies.canceller;
    }

    /** Registers a new request. The caller must then {@link #dispatch} it. */
    PendingRequest accept(RequestArrived arrival) {
        long now = context.now();
        RequestClass requestClass = settings.requestClass(arrival.requestClass());
        PendingRequest request = new PendingRequest(
                arrival,
                requestClass,
                latencies.of(arrival.requestClass()),
                now,
                Math.min(objectiveAt(arrival, requestClass), now + requestClass.timeout()),
                stalenessFilter.requiredPosition(arrival, requestClass, now),
                !quota.tryAcquireRequest(now, arrival.tenant()));
        requests.put(request.id(), request);
        directory.group(arrival.group()).recordRequest(now);
        return request;
    }

    /**
     * Returns the latency objective as a point in time. For a resubmitted request the time that the client is assumed
     * to have spent on the earlier submission is subtracted.
     */
    private long objectiveAt(RequestArrived arrival, RequestClass requestClass) {
        long objective =
                requestClass.latencyObjective() + (long) (requestClass.objectivePerWork() * arrival.expectedWork());
        long spent =
                arrival.resubmitted() ? (long) (RetryPolicy.RESUBMIT_DELAY_SHARE * requestClass.latencyObjective()) : 0;
        return context.now() + objective - spent;
    }

    /** Returns the request with this id, if it has no final answer yet. */
    Optional<PendingRequest> find(RequestId id) {
        return Optional.ofNullable(requests.get(id));
    }

    /** Whether no request is waiting or in flight. */
    boolean isIdle() {
        return requests.isEmpty();
    }

    /**
     * Starts an attempt of the request, lets it wait for a server, or answers it with a rejection or failure.
     *
     * @return false if the request waits
     */
    boolean dispatch(PendingRequest request) {
        ReplicaGroup group = directory.group(request.arrival().group());
        RoutingDecision decision =
                retryPolicy.mayAttempt(request) ? selector.select(request, group) : RoutingDecision.REJECT;
        if (decision.isWait() && context.now() < RequestDeadlines.waitUntil(request)) {
            group.enqueue(request);
            return false;
        }
        directory.dequeue(request);
        Optional<ServerState> admitted = decision.server().filter(server -> admits(server, request));
        admission.recordAdmission(request, admitted.isPresent());
        admitted.ifPresentOrElse(server -> startAttempt(request, server), () -> finish(request));
        return true;
    }

    private boolean admits(ServerState server, PendingRequest request) {
        long now = context.now();
        if (admission.isShed(request, server, now)
                || !RequestDeadlines.isWorthAttempt(request, server.load().measuredInflation(), now)) {
            return false;
        }
        request.setAttemptInSlowStart(slowStart.isInSlowStart(server, now));
        return quota.tryAcquireAttempt(server.id(), request.isAttemptInSlowStart());
    }

    private void startAttempt(PendingRequest request, ServerState server) {
        long now = context.now();
        boolean needsEarlyTimeout = retryPolicy.needsEarlyTimeout(request, server);
        long attemptUntil = request.idempotence() == Idempotence.IDEMPOTENT
                ? RequestDeadlines.valuableUntil(request)
                : RequestDeadlines.answerBy(request);
        if (needsEarlyTimeout) {
            retryPolicy.reserveRetry();
            attemptUntil = Math.min(attemptUntil, retryPolicy.earlyTimeoutAt(request, server));
        }
        long timeLimit = Math.max(1, attemptUntil - now);
        context.emit(new Action.StartAttempt(request.id(), server.id(), timeLimit, writeConditions(request, server)));
        request.startAttempt(server, needsEarlyTimeout, now);
        server.load().attemptStarted(request);
        slowStart.recordAttempt(server, request.usualLatency(), now);
    }

    /**
     * Returns the conditions under which the request may be written to the server, since time passes while a connection
     * is established. A bounded read must be written before the replica's known position is too old, unless replicas
     * check the staleness themselves; a read that was sent to the primary for its data, while that is the primary. A
     * request that may have run must be written while servers recognize its idempotency key.
     */
    private WriteConditions writeConditions(PendingRequest request, ServerState server) {
        boolean positionAges =
                request.consistency() == Consistency.BOUNDED && !server.isPrimary() && !settings.replicasCheckReads();
        long freshUntil = positionAges
                ? server.replication().position() + request.requestClass().stalenessBound()
                : Long.MAX_VALUE;
        return new WriteConditions(
                Math.min(freshUntil, request.retryUntil()),
                positionAges,
                server.isPrimary() && request.isDataAgeLimited());
    }

    /**
     * Called when an attempt has ended without giving the request its final answer. The request is dispatched again if
     * it may be retried; otherwise it is rejected or failed.
     */
    void retryOrFinish(PendingRequest request, ServerState server, Outcome outcome) {
        request.endAttempt();
        retryPolicy.recordOutcome(request, server, outcome);
        if (retryPolicy.tryAcquireRetry(request, outcome)) {
            dispatch(request);
        } else {
            finish(request);
        }
    }

    /** Called when the request has got its final answer. */
    void complete(PendingRequest request) {
        requests.remove(request.id());
    }

    /** Called when the client has disconnected. The request gets no answer, and its attempt in flight is cancelled. */
    void abandon(PendingRequest request) {
        requests.remove(request.id());
        canceller.cancel(request);
    }

    /** Rejects or fails all requests that are waiting or in flight, and cancels their attempts. */
    void finishAll() {
        for (PendingRequest request : List.copyOf(requests.values())) {
            canceller.cancel(request);
            request.assumeAttemptRan();
            finish(request);
        }
    }

    private void finish(PendingRequest request) {
        requests.remove(request.id());
        long retryAfter = retryPolicy.retryAfter(request);
        boolean isSafe = retryPolicy.isSafeToResubmit(request);
        context.emit(
                isSafe ? new Action.RejectRequest(request.id(), retryAfter) : new Action.FailRequest(request.id()));
    }

    /**
     * Dispatches the group's waiting requests again. As soon as one request of a class has to keep waiting, the others
     * of that class keep waiting, too, except those whose time to wait is over.
     */
    void dispatchWaiting(ReplicaGroup group) {
        if (group.waiting().isEmpty()) {
            return;
        }
        boolean[] classWaits = new boolean[settings.requestClasses().size()];
        for (PendingRequest request : admission.dispatchOrder(group)) {
            int classIndex = request.arrival().requestClass().index();
            boolean isOverdue = context.now() >= RequestDeadlines.waitUntil(request);
            if (isOverdue || !classWaits[classIndex]) {
                boolean dispatched = dispatch(request);
                classWaits[classIndex] |= !dispatched;
            }
        }
    }

    /**
     * Called when the offset of the servers' wall clock has changed. Log positions that requests require are replaced
     * by the current time, which is at least as late.
     */
    void redateRequiredPositions() {
        requests.values().forEach(request -> request.redateRequiredPosition(context.now()));
    }
}
