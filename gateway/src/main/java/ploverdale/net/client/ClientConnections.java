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
 * Manages the client connections of the gateway and the requests in flight on them: accepts connections, passes
 * requests to the router, and writes one response to each command in the order of the commands. Must never decide the
 * outcome of a request, answer a request twice, or buffer more for a client that does not read than the memory budget
 * allows. Created and used on the event loop only.
 */
public final class ClientConnections {
    private static final long CHECK_INTERVAL_MS = 20;

    private final ClientRuntime runtime;
    private final ClientListener listener;

    /** Creates the manager without any connection. Queries are held until {@link #startServing} is called. */
    public ClientConnections(
            Vertx vertx,
            Log log,
            RouterEventLoop eventLoop,
            GatewaySettings settings,
            ConnectionLimits<ClientSession> limits,
            ServerClock clock) {
        runtime = new ClientRuntime(vertx, log, eventLoop, settings, limits, clock);
        listener = new ClientListener(runtime);
        vertx.setPeriodic(CHECK_INTERVAL_MS, timer -> runPeriodicChecks());
    }

    private void runPeriodicChecks() {
        // After a process pause, answers that arrived during the pause are read before requests are failed as overdue.
        if (runtime.eventLoop().lag() == 0) {
            runtime.inFlight().failOverdue(runtime.nowMs());
        }
        runtime.evictor().evictOverdue();
        runtime.lingeringClose().closeOverdue();
    }

    // -- Connections

    /** Accepts a connection, if necessary after evicting another client, or refuses it. */
    public void accept(NetSocket socket) {
        listener.accept(socket);
    }

    /** Evicts a client that the connection limits selected, unless that client has sent something in the meantime. */
    public void evict(Eviction<ClientSession> eviction) {
        runtime.evictor().evict(eviction);
    }

    /** Closes the given number of lingering connections, oldest first; none if the number is 0 or negative. */
    public void closeLingering(int count) {
        runtime.lingeringClose().closeOldest(count);
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return runtime.sessions().size();
    }

    /** Returns the number of open connections whose startup message has been read. */
    public int startedConnections() {
        return runtime.sessions().size() - runtime.limits().preStartupConnections();
    }

    /** Returns the number of closed connections whose last responses the operating system has not accepted yet. */
    public int unflushedConnections() {
        return runtime.lingeringClose().unflushed();
    }

    /** Returns the number of connections with a message that was read completely and has not been answered. */
    public int unansweredConnections() {
        return (int) runtime.sessions().all().stream()
                .filter(ClientSession::owesResponse)
                .count();
    }

    // -- Requests

    /** Starts to run queries, beginning with those that have been held. Has no effect if it was called before. */
    public void startServing() {
        runtime.status().startServing();
        runtime.sessions().runHeldQueries();
    }

    /** Sets the listener that is called for each accepted request with the monotonic time in milliseconds. */
    public void onRequest(LongConsumer requestListener) {
        runtime.acceptor().onRequest(requestListener);
    }

    /** Passes all later requests to this lookup instead of directly to the router. */
    public void useHistory(RequestHistoryLookup lookup) {
        runtime.acceptor().useHistory(lookup);
    }

    /** Returns the recent rate of accepted requests. */
    public double requestsPerSecond() {
        return runtime.acceptor().requestsPerSecond();
    }

    /** Returns the number of requests in flight. */
    public int requestsInFlight() {
        return runtime.inFlight().size();
    }

    /** Returns the request with this id, or null if it has been answered or its client has closed the connection. */
    public AcceptedRequest requestInFlight(RequestId id) {
        return runtime.inFlight().get(id);
    }

    /**
     * Returns whether the client of a request still waits for the response; called right before an attempt is written.
     * If the connection has not been read recently (for a retry, a queued request, or after a process pause), it is
     * read first, to detect a client that has closed it. If it cannot be read to its end, because the client sends
     * faster than its share, the request is answered with an error: its client may have gone.
     */
    public boolean isAwaited(AcceptedRequest request) {
        InFlightRequests inFlight = runtime.inFlight();
        if (!inFlight.contains(request) || request.session().isClosedByClient() || !inFlight.contains(request)) {
            return false;
        }
        if (request.session().mayHideClose()) {
            inFlight.endForUnreadInput(request);
            return false;
        }
        return true;
    }

    /** Answers a request with the row that a server returned. */
    public void succeed(RequestId id, ResultRow row) {
        runtime.inFlight().succeed(id, row);
    }

    /** Answers a write that has already run under the same id with the response that was recorded for it. */
    public void replay(RequestId id, byte[] response) {
        runtime.inFlight().replay(id, response);
    }

    /**
     * Rejects a request: answers that it was not run and may be retried.
     *
     * @param retryAfter delay before a retry, in tenths of a millisecond, or 0 to suggest none
     */
    public void reject(RequestId id, long retryAfter) {
        runtime.inFlight().reject(id, retryAfter);
    }

    /** Fails a request: answers that it failed and may have run. */
    public void fail(RequestId id) {
        runtime.inFlight().fail(id);
    }

    // -- Shutdown

    /** Limits the deadline of each request that is accepted from now on to this service time. */
    public void capDeadlines(long deadline) {
        runtime.acceptor().capDeadlines(deadline);
    }

    /** Closes idle connections now, and each other connection as soon as it becomes idle. */
    public void closeIdle() {
        if (!runtime.status().isClosingIdle()) {
            runtime.log().line("planned restart: idle connections end, " + openConnections() + " connections");
        }
        runtime.status().startClosingIdle();
        List<ClientSession> idle = new ArrayList<>();
        runtime.limits().idleClients().forEach(idle::add);
        idle.forEach(ClientSession::closeIfIdle);
    }

    /**
     * Rejects all incomplete messages, since the rest of them would arrive too late to be answered, and closes their
     * connections once earlier requests have been answered.
     */
    public void rejectIncompleteMessages() {
        runtime.evictor().rejectIncompleteMessages();
    }

    /**
     * Stops reading from all connections, including those accepted later. Requests that are read right before the
     * process exits could not be answered, whereas clients can safely retry requests that were left unread. Requests
     * that have been read are still answered.
     */
    public void stopReading() {
        runtime.status().stopReading();
        List<ClientSession> sessions = runtime.sessions().all();
        sessions.forEach(ClientSession::stopReading);
        sessions.stream().filter(ClientSession::hasIncompleteStartup).forEach(SessionEvictor::abortForShutdown);
        rejectIncompleteMessages();
    }
}
