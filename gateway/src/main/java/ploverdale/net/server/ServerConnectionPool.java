package ploverdale.net.server;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import ploverdale.clock.ServerClock;
import ploverdale.limits.ConnectionLimits;
import ploverdale.log.Log;
import ploverdale.model.Event.Outcome;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.settings.GatewaySettings;

/**
 * The connections to all servers: assigns an idle or a new connection to each attempt and each health check. The pool
 * closes idle connections only, through {@link IdleConnections}; a connection that carries an attempt is closed by
 * itself or by that attempt. However an attempt ends, its listener is called exactly once. Used on the event loop only.
 */
public final class ServerConnectionPool {
    /** Number of times that idle connections are checked for eviction within the servers' idle timeout. */
    private static final int EVICTION_RUNS_PER_IDLE_TIMEOUT = 50;

    private static final long MIN_EVICTION_PERIOD_MS = 10;

    /**
     * Timeout of a health check on a connection that was idle for long, after which it is repeated on a new connection.
     * It is many times the usual duration of a health check, and short compared with the timeout of a request.
     */
    private static final long LONG_IDLE_HEALTH_CHECK_TIMEOUT_MS = 100;

    private static final long CONNECT_RETRY_DELAY_MS = 2; // time for another connection to release its descriptor
    private static final long DESCRIPTOR_RELEASE_DELAY_MS = 1; // time for the event loop to close the socket

    private final PoolContext context;
    private final LoadReportReader loadReports;
    private final ConnectionLimits<?> limits;
    private final BooleanSupplier ensureCapacity;
    private final NetClient client;
    private final IdleConnections idleConnections;
    private final Map<ServerId, PooledServer> servers = new HashMap<>();
    private final Map<RequestId, Attempt> attempts = new HashMap<>(); // the attempt in flight of each request

    /**
     * Creates a pool without connections.
     *
     * @param limits counts the open connections
     * @param ensureCapacity evicts connections until the limits allow one more; returns false if none may be opened now
     */
    public ServerConnectionPool(
            Vertx vertx,
            Log log,
            GatewaySettings settings,
            ConnectionLimits<?> limits,
            BooleanSupplier ensureCapacity,
            ServerClock clock) {
        context = new PoolContext(vertx, log, settings, clock);
        loadReports = new LoadReportReader(settings, clock);
        this.limits = limits;
        this.ensureCapacity = ensureCapacity;
        idleConnections = new IdleConnections(context);
        client = vertx.createNetClient(new NetClientOptions()
                .setConnectTimeout((int) PoolContext.toMsRoundedUp(settings.connectLimit()))
                .setReconnectAttempts(0)
                .setTcpNoDelay(true));
        long idleTimeoutMs = PoolContext.toMsRoundedDown(settings.idleLimit());
        long evictionPeriodMs = Math.max(MIN_EVICTION_PERIOD_MS, idleTimeoutMs / EVICTION_RUNS_PER_IDLE_TIMEOUT);
        vertx.setPeriodic(evictionPeriodMs, timer -> idleConnections.closeExpired(servers.values()));
    }

    /**
     * Sets a server's address. Idle connections to its previous address are closed at once, the others when they become
     * idle.
     */
    public void setAddress(ServerId id, InetSocketAddress address) {
        PooledServer server = server(id);
        if (!address.equals(server.address())) {
            server.setAddress(address);
            closeIdleConnections(id);
        }
    }

    /**
     * Starts an attempt at a request. At most one attempt at a request may be in flight.
     *
     * @param timeLimit the time limit, in tenths of a millisecond from now
     * @param mayWrite evaluated right before the bytes are written; if it returns false, the attempt ends as never sent
     * @param mayBeRepeat whether the request may have run before, so that the server may answer with the result of that
     *     run
     */
    public void startAttempt(
            RequestId request,
            ServerId id,
            long timeLimit,
            BooleanSupplier mayWrite,
            RequestEncoder encoder,
            boolean mayBeRepeat,
            AttemptListener listener) {
        Attempt.Work work = new Attempt.Work(mayWrite, encoder, mayBeRepeat, listener);
        Attempt attempt = new Attempt(context, this, request, server(id), timeLimit, work);
        attempt.startDeadline();
        attempts.put(request, attempt);
        assign(attempt);
    }

    /** Cancels the attempt at the request; does nothing if none is in flight. */
    public void cancelAttempt(RequestId request) {
        Attempt attempt = attempts.get(request);
        if (attempt != null) {
            attempt.abandon(Outcome.CANCELLED);
        }
    }

    /**
     * Starts a health check, with the connect timeout as its time limit. On a connection that has been idle for long it
     * gets less time and is then repeated once on a new connection, since the server or the network may have dropped
     * the old one.
     *
     * @param mayWrite evaluated right before the bytes are written; if it returns false, the health check ends as never
     *     sent
     */
    public void startHealthCheck(ServerId id, BooleanSupplier mayWrite, AttemptListener listener) {
        GatewaySettings settings = context.settings();
        RequestEncoder encoder = timeoutMs -> MessageWriter.healthCheck(settings.reportsInHealthChecks());
        Attempt.Work work = new Attempt.Work(mayWrite, encoder, false, listener);
        Attempt healthCheck = new Attempt(context, this, null, server(id), settings.connectLimit(), work);
        healthCheck.startDeadline();
        assign(healthCheck);
        ServerConnection connection = healthCheck.connection();
        if (connection != null && connection.wasLongIdle()) {
            context.vertx().setTimer(LONG_IDLE_HEALTH_CHECK_TIMEOUT_MS, timer -> moveIfUnanswered(healthCheck));
        }
    }

    private void moveIfUnanswered(Attempt healthCheck) {
        if (isUnansweredOnFirstConnection(healthCheck)) {
            healthCheck.connection().readNow(); // the answer may have arrived while this process was paused
        }
        if (isUnansweredOnFirstConnection(healthCheck)) {
            moveToNewConnection(healthCheck);
        }
    }

    private static boolean isUnansweredOnFirstConnection(Attempt healthCheck) {
        return !healthCheck.isCompleted() && healthCheck.connection() != null && !healthCheck.wasMoved();
    }

    /** Closes the connection of a health check and opens a new one for it. */
    void moveToNewConnection(Attempt healthCheck) {
        ServerConnection unresponsive = healthCheck.connection();
        unresponsive.abandonAttempt();
        healthCheck.detachFrom(unresponsive);
        healthCheck.server().addWaiting(healthCheck);
        openOrRetryLater(healthCheck);
    }

    /** Closes all idle connections to the server. */
    public void closeIdleConnections(ServerId id) {
        PooledServer server = servers.get(id);
        if (server != null) {
            idleConnections.closeAll(server);
        }
    }

    /** Closes the connection that has been idle longest; returns false if none is idle. */
    public boolean closeLongestIdle() {
        return idleConnections.closeLongestIdle();
    }

    private PooledServer server(ServerId id) {
        return servers.computeIfAbsent(id, PooledServer::new);
    }

    // -- Assigning connections to attempts

    private void assign(Attempt attempt) {
        ServerConnection connection = idleConnections.take(attempt.server());
        if (connection != null) {
            connection.write(attempt);
            return;
        }
        attempt.server().addWaiting(attempt);
        openOrRetryLater(attempt);
    }

    /**
     * Opens a connection for the attempt. If that is not possible now, tries again a little later, when other
     * connections may have released their descriptors.
     */
    private void openOrRetryLater(Attempt attempt) {
        if (!attempt.needsConnection() || open(attempt)) {
            return;
        }
        PooledServer server = attempt.server();
        boolean hasAddress = server.address() != null;
        attempt.setFailedLocally(hasAddress);
        if (hasAddress && connectAgainLater(attempt)) {
            return;
        }
        String details = "to server " + server.id().value() + ", " + limits.serverConnections() + " to servers";
        context.log().rateLimited("no room for a connection", details);
        attempt.failToConnect();
    }

    private boolean open(Attempt attempt) {
        if (attempt.server().address() == null || !ensureCapacity.getAsBoolean()) {
            return false;
        }
        attempt.setFailedLocally(false);
        limits.onServerConnecting();
        new ServerConnection(context, this, loadReports, attempt).open(client);
        return true;
    }

    /**
     * Schedules another try to open a connection for the attempt, which is skipped if a connection has been assigned by
     * then.
     *
     * @return false, with nothing scheduled, if the attempt has used up its connect retries
     */
    boolean connectAgainLater(Attempt attempt) {
        if (!attempt.takeConnectRetry()) {
            return false;
        }
        context.vertx().setTimer(CONNECT_RETRY_DELAY_MS, timer -> openOrRetryLater(attempt));
        return true;
    }

    /**
     * Takes back a connection that carries no attempt. Assigns it to the attempt that it was opened for, or else to the
     * one that has waited longest; keeps it as idle if no attempt is waiting.
     */
    void release(ServerConnection connection) {
        PooledServer server = connection.server();
        Attempt opener = connection.opener();
        if (opener.needsConnection()) {
            server.removeWaiting(opener);
            connection.write(opener);
            return;
        }
        Attempt next = server.firstWaiting();
        if (next == null) {
            keepIdle(connection);
        } else if (connection.hasTurnPassedSinceAnswer()) {
            server.removeWaiting(next);
            connection.write(next);
        } else {
            connection.releaseInNextTurn(); // a surplus answer must be read before the next request is written
        }
    }

    private void keepIdle(ServerConnection connection) {
        if (connection.address().equals(connection.server().address())) {
            idleConnections.add(connection);
        } else {
            connection.close();
        }
    }

    // -- Calls of attempts and connections

    /** Returns the idle connections; never null. */
    IdleConnections idleConnections() {
        return idleConnections;
    }

    /** Called when an attempt has ended; removes it. */
    void onAttemptCompleted(Attempt attempt) {
        attempt.server().removeWaiting(attempt);
        if (!attempt.isHealthCheck()) {
            attempts.remove(attempt.request(), attempt);
        }
    }

    /** Called when a connection is being closed; removes it. Its descriptor is counted until the socket is closed. */
    void onConnectionClosed(ServerConnection connection) {
        limits.onServerClosing();
        context.vertx().setTimer(DESCRIPTOR_RELEASE_DELAY_MS, timer -> limits.onDescriptorReleased());
        idleConnections.remove(connection);
    }
}
