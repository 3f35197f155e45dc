package ploverdale.net.client;

import java.util.function.LongConsumer;
import ploverdale.clock.ServerClock;
import ploverdale.limits.ConnectionLimits;
import ploverdale.model.Event;
import ploverdale.model.GroupId;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClass.Consistency;
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
 * Accepts queries as requests: checks what each names, reserves its place in the order of responses, sets its deadline, and
 * passes it to the router or, where gateways record requests together, to the lookup of its history. Used on the event loop
 * only.
 */
final class RequestAcceptor {
    private static final double TRAFFIC_FADE_MS = 1000;
    private static final long TICKS_PER_MS = 10; // service time counts tenths of a millisecond
    private static final long NO_TOKEN = 0; // age of the position that a request must reach, where it names none

    private final RouterEventLoop eventLoop;
    private final GatewaySettings settings;
    private final ConnectionLimits<ClientSession> limits;
    private final ServerClock clock;
    private final InFlightRequests inFlight;
    private final RequestRate traffic = new RequestRate(TRAFFIC_FADE_MS);
    private LongConsumer requestListener = nowMs -> {};
    private RequestHistoryLookup historyLookup; // null where gateways record nothing together
    private long latestDeadline = Long.MAX_VALUE;

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

    /** Called with the monotonic time in milliseconds at each request from now on. */
    void onRequest(LongConsumer listener) {
        requestListener = listener;
    }

    /** Requests are passed to this lookup from now on. */
    void useHistory(RequestHistoryLookup lookup) {
        historyLookup = lookup;
    }

    /** No request that is accepted from now on has a later deadline than this service time. */
    void capDeadlines(long deadline) {
        latestDeadline = deadline;
    }

    /** Requests a second, lately. */
    double requestsPerSecond() {
        return traffic.perSecond(clock.clock().monotonicMs());
    }

    /**
     * Accepts a query, or answers it with an error if it names something unknown.
     *
     * @param arrivedAt service time that its timeout counts from
     */
    void accept(ClientSession session, ClientMessage.RequestQuery query, long arrivedAt) {
        int classIndex = settings.requestClasses().indexOf(query.requestClass());
        if (classIndex < 0) {
            session.rejectInvalidQuery(SqlStates.INVALID_PARAMETER_VALUE, "an unknown op type");
            return;
        }
        int tenantIndex = tenantIndex(query.tenant());
        if (tenantIndex < 0) {
            session.rejectInvalidQuery(SqlStates.INVALID_PARAMETER_VALUE, "an unknown tenant");
            return;
        }
        RequestId id = new RequestId(query.id());
        if (inFlight.get(id) != null) {
            session.rejectInvalidQuery(SqlStates.DUPLICATE_OBJECT, "the id of an op still in hand");
            return;
        }
        long timeoutAt = Math.min(latestDeadline, arrivedAt + (long) Math.floor(query.timeoutMs() * TICKS_PER_MS));
        register(session, query, id, Math.max(0, timeoutAt - arrivedAt) / TICKS_PER_MS);
        pass(arrival(query, classIndex, tenantIndex, arrivedAt, timeoutAt), query.key());
    }

    private int tenantIndex(String tenant) {
        return settings.tenants().isEmpty() ? 0 : settings.tenants().indexOf(tenant);
    }

    private void register(ClientSession session, ClientMessage.RequestQuery query, RequestId id, long timeoutMs) {
        long nowMs = clock.clock().monotonicMs();
        limits.asks(session);
        traffic.onRequest(nowMs);
        requestListener.accept(nowMs);
        PendingResponse response = PendingResponse.of(id);
        session.awaitResponse(response);
        long lastResortAtMs = nowMs + timeoutMs + InFlightRequests.LAST_RESORT_MS;
        inFlight.add(new AcceptedRequest(query, session, response, lastResortAtMs));
    }

    private Event.RequestArrived arrival(
            ClientMessage.RequestQuery query, int classIndex, int tenantIndex, long arrivedAt, long timeoutAt) {
        RequestClass requestClass = settings.started().requestClasses().get(classIndex);
        return new Event.RequestArrived(
                new RequestId(query.id()),
                new RequestClassId(classIndex),
                new TenantId(tenantIndex),
                new GroupId(query.group()),
                session(query, requestClass.consistency()),
                timeoutAt,
                query.resubmitted(),
                0,
                tokenAge(query, arrivedAt));
    }

    /** The session whose writes a read must see, or that a write belongs to; null if there is none. */
    private static SessionId session(ClientMessage.RequestQuery query, Consistency consistency) {
        boolean inSession = consistency == Consistency.WRITE || consistency == Consistency.SESSION;
        return query.key() != null && inSession ? new SessionId(query.key()) : null;
    }

    private long tokenAge(ClientMessage.RequestQuery query, long arrivedAt) {
        return query.minPositionMs() <= 0 ? NO_TOKEN : clock.tokenAge(arrivedAt, query.minPositionMs() * TICKS_PER_MS);
    }

    private void pass(Event.RequestArrived arrival, String key) {
        if (historyLookup == null) {
            eventLoop.enqueue(arrival);
        } else {
            historyLookup.onRequestArrived(arrival, key);
        }
    }
}
