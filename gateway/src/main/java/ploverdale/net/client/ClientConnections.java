package ploverdale.net.client;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import ploverdale.clock.ServerClock;
import ploverdale.limits.ConnectionLimits;
import ploverdale.limits.ConnectionLimits.Eviction;
import ploverdale.log.Log;
import ploverdale.model.RequestId;
import ploverdale.net.eventloop.RouterEventLoop;
import ploverdale.net.peer.RequestHistoryLookup;
import ploverdale.net.postgres.ResultRow;
import ploverdale.settings.GatewaySettings;

/**
 * The gateway's access to the connections of its clients and the requests in flight on them: accepts connections, passes
 * requests to the router, and writes one response to each command in the order of the commands. Must never decide the outcome
 * of a request, answer one twice, or keep more of a client that does not read than the budgets allow. Created and used on the
 * event loop only.
 */
public final class ClientConnections {
    private static final long TICK_MS = 20;

    private final ClientRuntime runtime;
    private final ClientListener listener;

    /** Nothing is accepted before {@link #accept} is called, and no query is run before {@link #startServing}. */
    public ClientConnections(
            Vertx vertx,
            Log log,
            RouterEventLoop eventLoop,
            GatewaySettings settings,
            ConnectionLimits<ClientSession> limits,
            ServerClock clock) {
        runtime = new ClientRuntime(vertx, log, eventLoop, settings, limits, clock);
        listener = new ClientListener(runtime);
        vertx.setPeriodic(TICK_MS, timer -> onTick());
    }

    private void onTick() {
        // After a pause of the process, answers that came during it are read first.
        if (runtime.eventLoop().lag() == 0) {
            runtime.inFlight().failOverdue(runtime.nowMs());
        }
        runtime.evictor().evictOverdue();
    }

    // -- Connections

    /** Takes over a connection, in the place of an idle one if there are many, or refuses it. */
    public void accept(NetSocket socket) {
        listener.accept(socket);
    }

    /** Ends a session that the limits named, unless its client has sent something by now. */
    public void evict(Eviction<ClientSession> eviction) {
        runtime.evictor().evict(eviction);
    }

    /** Closes this many of the connections that linger after their end, the longest first; none if it is 0 or less. */
    public void closeLingering(int count) {
        runtime.lingeringClose().closeOldest(count);
    }

    /** Number of open connections. */
    public int openConnections() {
        return runtime.sessions().size();
    }

    /** Number of open connections whose startup message has been read. */
    public int startedConnections() {
        return runtime.sessions().size() - runtime.limits().strangers();
    }

    /** Number of closed connections whose last responses have not been taken by the operating system yet. */
    public int unflushedConnections() {
        return runtime.lingeringClose().unflushed();
    }

    /** Number of connections on which something has been read completely and not been answered. */
    public int unansweredConnections() {
        return (int) runtime.sessions().all().stream()
                .filter(ClientSession::owesResponse)
                .count();
    }

    // -- Requests

    /** From now on queries are run, those that came before first. */
    public void startServing() {
        runtime.status().startServing();
        runtime.sessions().runHeldQueries();
    }

    /** The listener is called with the monotonic time in milliseconds at each request from now on. */
    public void onRequest(LongConsumer requestListener) {
        runtime.acceptor().onRequest(requestListener);
    }

    /** Requests are passed to this lookup, instead of the router, from now on. */
    public void useHistory(RequestHistoryLookup lookup) {
        runtime.acceptor().useHistory(lookup);
    }

    /** Requests a second, lately. */
    public double requestsPerSecond() {
        return runtime.acceptor().requestsPerSecond();
    }

    /** Number of requests in flight. */
    public int requestsInFlight() {
        return runtime.inFlight().size();
    }

    /** The request with this id, or null if it has been answered or its client has closed. */
    public AcceptedRequest requestInFlight(RequestId id) {
        return runtime.inFlight().get(id);
    }

    /**
     * Whether the client of a request still waits for it; called right before an attempt is written. Where its connection was
     * not read a moment ago, as for a retry, a request that was queued, or after a pause of this process, it is read now.
     */
    public boolean isAwaited(AcceptedRequest request) {
        InFlightRequests inFlight = runtime.inFlight();
        return inFlight.contains(request) && !request.session().isClosedByClient() && inFlight.contains(request);
    }

    /** Answers a request with the row that a server returned. */
    public void succeed(RequestId id, ResultRow row) {
        runtime.inFlight().succeed(id, row);
    }

    /** Answers a write that ran before, under the same id, with the response that its client was given then. */
    public void replay(RequestId id, byte[] response) {
        runtime.inFlight().replay(id, response);
    }

    /**
     * Answers that a request was not run and may be retried.
     *
     * @param retryAfter after how long, in tenths of a millisecond, or 0 for no advice
     */
    public void reject(RequestId id, long retryAfter) {
        runtime.inFlight().reject(id, retryAfter);
    }

    /** Answers that a request failed and may have run. */
    public void fail(RequestId id) {
        runtime.inFlight().fail(id);
    }

    // -- Shutdown

    /** No request that is accepted from now on has a later deadline than this service time. */
    public void capDeadlines(long deadline) {
        runtime.acceptor().capDeadlines(deadline);
    }

    /** From now on idle connections are closed, and others once they are idle. */
    public void closeIdle() {
        if (!runtime.status().isClosingIdle()) {
            runtime.log().line("planned restart: idle connections end, " + openConnections() + " connections");
        }
        runtime.status().startClosingIdle();
        List<ClientSession> idle = new ArrayList<>();
        runtime.limits().allIdle().forEach(idle::add);
        idle.forEach(ClientSession::closeIfIdle);
    }

    /**
     * Rejects messages that are incomplete, whose rest would come too late to be answered, and runs nothing more on their
     * connections.
     */
    public void rejectIncompleteMessages() {
        runtime.evictor().rejectIncompleteMessages();
    }

    /**
     * Reads nothing more, on connections that come later neither: what is read right before the process exits could not be
     * answered, while clients retry what they find unread. What has been read is answered as before.
     */
    public void stopReading() {
        runtime.status().stopReading();
        List<ClientSession> sessions = runtime.sessions().all();
        sessions.forEach(ClientSession::stopReading);
        sessions.stream().filter(ClientSession::hasIncompleteStartup).forEach(SessionEvictor::giveUpForShutdown);
        rejectIncompleteMessages();
    }
}
