package ploverdale.net.client;

import java.util.function.LongConsumer;
import ploverdale.clock.ServerClock;
import ploverdale.limits.ConnectionLimits;
import ploverdale.model.Event;
import ploverdale.model.GroupId;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClass.Consistency;
import ploverdale.model.RequestClass.Idempotence;
import ploverdale.model.RequestClassId;
import ploverdale.model.RequestId;
import ploverdale.model.SessionId;
import ploverdale.model.TenantId;
import ploverdale.net.eventloop.RouterEventLoop;
import ploverdale.net.peer.RequestHistoryLookup;
import ploverdale.net.postgres.ClientMessage;
import ploverdale.settings.GatewaySettings;
import ploverdale.shutdown.RequestRate;

/**
 * Accepts queries as requests: validates the request class, tenant and id, reserves a slot in the response pipeline,
 * sets the deadline, and passes the request to the router or, if gateways share a record of requests, to the lookup of
 * its history. Used on the event loop only.
 */
final class RequestAcceptor {
    private static final double RATE_DECAY_MS = 1000;
    private static final long TICKS_PER_MS = 10; // service time is in tenths of a millisecond
    private static final long NO_TOKEN = 0; // token age of a request that requires no log position

    private final RouterEventLoop eventLoop;
    private final GatewaySettings settings;
    private final ConnectionLimits<ClientSession> limits;
    private final ServerClock clock;
    private final InFlightRequests inFlight;
    private final RequestRate requestRate = new RequestRate(RATE_DECAY_MS);
    private LongConsumer requestListener = nowMs -> {};
    private RequestHistoryLookup historyLookup; // null if gateways share no record of requests
    private long nextSubmission = 1;
    private long maxDeadline = Long.MAX_VALUE;

    RequestAcceptor(
            RouterEventLoop eventLoop,
            GatewaySettings settings,
            ConnectionLimits<ClientSession> limits,
            ServerClock clock,
            InFlightRequests inFlight) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.limits = limits;
        this.clock = clock;
        this.inFlight = inFlight;
    }

    /** Sets the listener that is called for each accepted request with the monotonic time in milliseconds. */
    void onRequest(LongConsumer listener) {
        requestListener = listener;
    }

    /** Passes all later requests to this lookup instead of directly to the router. */
    void useHistory(RequestHistoryLookup lookup) {
        historyLookup = lookup;
    }

    /** Limits the deadline of each request that is accepted from now on to this service time. */
    void capDeadlines(long deadline) {
        maxDeadline = deadline;
    }

    /** Returns the recent rate of accepted requests. */
    double requestsPerSecond() {
        return requestRate.perSecond(clock.clock().monotonicMs());
    }

    /**
     * Accepts a query, or answers it with an error if its request class or tenant is unknown or its id is in flight.
     *
     * @param arrivedAt service time at which the request's timeout starts
     */
    void accept(ClientSession session, ClientMessage.RequestQuery query, long arrivedAt) {
        int classIndex = settings.requestClasses().indexOf(query.requestClass());
        if (classIndex < 0) {
            session.rejectInvalidMessage(SqlStates.INVALID_PARAMETER_VALUE, "an unknown op type");
            return;
        }
        int tenantIndex = tenantIndex(query.tenant());
        if (tenantIndex < 0) {
            session.rejectInvalidMessage(SqlStates.INVALID_PARAMETER_VALUE, "an unknown tenant");
            return;
        }
        if (isInUse(query.id())) {
            session.rejectInvalidMessage(SqlStates.DUPLICATE_OBJECT, "the id of an op still in hand");
            return;
        }
        RequestId id = new RequestId(query.id(), nextSubmission++);
        long timeoutAt = Math.min(maxDeadline, arrivedAt + (long) Math.floor(query.timeoutMs() * TICKS_PER_MS));
        RequestClass requestClass = settings.started().requestClasses().get(classIndex);
        boolean idempotent = requestClass.idempotence() == Idempotence.IDEMPOTENT;
        long timeoutMs = Math.max(0, timeoutAt - arrivedAt) / TICKS_PER_MS;
        register(session, query, id, idempotent, timeoutMs);
        dispatch(arrivalEvent(id, query, classIndex, tenantIndex, arrivedAt, timeoutAt), query.key());
    }

    /** Returns whether the id is in use. A request that may have run is left to the lookup of its history, if any. */
    private boolean isInUse(String id) {
        return historyLookup == null ? inFlight.isInUse(id) : inFlight.isInFlight(id);
    }

    private int tenantIndex(String tenant) {
        return settings.tenants().isEmpty() ? 0 : settings.tenants().indexOf(tenant);
    }

    private void register(
            ClientSession session, ClientMessage.RequestQuery query, RequestId id, boolean idempotent, long timeoutMs) {
        long nowMs = clock.clock().monotonicMs();
        limits.markAwaitingResponse(session);
        requestRate.onRequest(nowMs);
        requestListener.accept(nowMs);
        PendingResponse response = PendingResponse.of(id);
        session.awaitResponse(response);
        long overdueAtMs = nowMs + timeoutMs + InFlightRequests.OVERDUE_AFTER_TIMEOUT_MS;
        inFlight.add(new AcceptedRequest(query, session, response, idempotent, overdueAtMs));
    }

    private Event.RequestArrived arrivalEvent(
            RequestId id,
            ClientMessage.RequestQuery query,
            int classIndex,
            int tenantIndex,
            long arrivedAt,
            long timeoutAt) {
        RequestClass requestClass = settings.started().requestClasses().get(classIndex);
        return new Event.RequestArrived(
                id,
                new RequestClassId(classIndex),
                new TenantId(tenantIndex),
                new GroupId(query.group()),
                sessionOf(query, requestClass.consistency()),
                timeoutAt,
                query.resubmitted(),
                0,
                tokenAge(query, arrivedAt));
    }

    /** Returns the session whose writes a read must observe, or to which a write belongs; null if there is none. */
    private static SessionId sessionOf(ClientMessage.RequestQuery query, Consistency consistency) {
        boolean inSession = consistency == Consistency.WRITE || consistency == Consistency.SESSION;
        return query.key() != null && inSession ? new SessionId(query.key()) : null;
    }

    /** Returns the age of the log position that the request must observe, or {@link #NO_TOKEN}. */
    private long tokenAge(ClientMessage.RequestQuery query, long arrivedAt) {
        return query.minPositionMs() <= 0 ? NO_TOKEN : clock.tokenAge(arrivedAt, query.minPositionMs() * TICKS_PER_MS);
    }

    /** Passes a request to the lookup of its history, if there is one, otherwise to the router. */
    private void dispatch(Event.RequestArrived arrival, String key) {
        if (historyLookup == null) {
            eventLoop.enqueue(arrival);
        } else {
            historyLookup.onRequestArrived(arrival, key);
        }
    }
}
