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
 * Connections to all servers: gives each attempt and each health check an idle connection or a new one. The pool may close idle
 * connections, by {@link IdleConnections}; a connection that carries an attempt is closed by itself or by that attempt. Whatever ends an
 * attempt, its listener is called exactly once. Used on the event loop only.
 */
public final class ServerConnectionPool {
    /** Idle connections are looked through this often in the time for which a server keeps one. */
    private static final int EVICTION_RUNS_PER_IDLE_TIMEOUT = 50;

    private static final long MIN_EVICTION_PERIOD_MS = 10;

    /**
     * How long a health check on a connection that was idle for long may take: many times what it usually takes, and short beside the
     * time of a request. Then it is repeated on a new connection.
     */
    private static final long LONG_IDLE_HEALTH_CHECK_TIMEOUT_MS = 100;

    private static final long CONNECT_RETRY_DELAY_MS = 2; // until another connection has given its descriptor back
    private static final long DESCRIPTOR_RELEASE_DELAY_MS = 1; // until the event loop has closed the socket

    private final PoolContext context;
    private final LoadReportReader loadReports;
    private final ConnectionLimits<?> limits;
    private final BooleanSupplier makeRoom;
    private final NetClient client;
    private final IdleConnections idleConnections;
    private final Map<ServerId, PooledServer> servers = new HashMap<>();
    private final Map<RequestId, Attempt> attempts = new HashMap<>(); // the current one of each request

    /**
     * Creates a pool without connections.
     *
     * @param limits counts the connections
     * @param makeRoom evicts connections to make room for one more; false where none may be opened now
     */
    public ServerConnectionPool(
            Vertx vertx,
            Log log,
            GatewaySettings settings,
            ConnectionLimits<?> limits,
            BooleanSupplier makeRoom,
            ServerClock clock) {
        context = new PoolContext(vertx, log, settings, clock);
        loadReports = new LoadReportReader(settings, clock);
        this.limits = limits;
        this.makeRoom = makeRoom;
        idleConnections = new IdleConnections(context);
        client = vertx.createNetClient(new NetClientOptions()
                .setConnectTimeout((int) PoolContext.toMsRoundedUp(settings.connectLimit()))
                .setReconnectAttempts(0)
                .setTcpNoDelay(true));
        long idleTimeoutMs = PoolContext.toMsRoundedDown(settings.idleLimit());
        long evictionPeriodMs = Math.max(MIN_EVICTION_PERIOD_MS, idleTimeoutMs / EVICTION_RUNS_PER_IDLE_TIMEOUT);
        vertx.setPeriodic(evictionPeriodMs, timer -> idleConnections.closeExpired(servers.values()));
    }

    /** Sets a server's address. Idle connections to an older one are closed now, others when they become idle. */
    public void setAddress(ServerId id, InetSocketAddress address) {
        PooledServer server = server(id);
        if (!address.equals(server.address())) {
            server.setAddress(address);
            closeIdleConnections(id);
        }
    }

    /**
     * Starts an attempt at a request. At most one attempt at a request may be in progress.
     *
     * @param timeLimit in tenths of a millisecond, from now on
     * @param mayWrite asked right before the bytes are written; where it is false, the attempt ends as never sent
     */
    public void startAttempt(
            RequestId request,
            ServerId id,
            long timeLimit,
            BooleanSupplier mayWrite,
            RequestEncoder encoder,
            AttemptListener listener) {
        Attempt.Work work = new Attempt.Work(mayWrite, encoder, listener);
        Attempt attempt = new Attempt(context, this, request, server(id), timeLimit, work);
        attempt.startDeadline();
        attempts.put(request, attempt);
        assign(attempt);
    }

    /** Gives up the attempt at the request, which ends as cancelled; does nothing where none is in progress. */
    public void cancelAttempt(RequestId request) {
        Attempt attempt = attempts.get(request);
        if (attempt != null) {
            attempt.giveUp(Outcome.CANCELLED);
        }
    }

    /**
     * Starts a health check, which may take as long as a connection may take to be made. On a connection that has been idle for long it
     * gets less time, and is repeated once on a new connection: the server or the network may have forgotten the old one.
     *
     * @param mayWrite asked right before the bytes are written; where it is false, the health check ends as never sent
     */
    public void startHealthCheck(ServerId id, BooleanSupplier mayWrite, AttemptListener listener) {
        GatewaySettings settings = context.settings();
        RequestEncoder encoder = timeoutMs -> MessageWriter.healthCheck(settings.reportsInHealthChecks());
        Attempt.Work work = new Attempt.Work(mayWrite, encoder, listener);
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
            healthCheck.connection().readNow(); // the answer may have come while this process was paused
        }
        if (isUnansweredOnFirstConnection(healthCheck)) {
            moveToNewConnection(healthCheck);
        }
    }

    private static boolean isUnansweredOnFirstConnection(Attempt healthCheck) {
        return !healthCheck.isCompleted() && healthCheck.connection() != null && !healthCheck.wasMoved();
    }

    /** Closes the connection of a health check, and opens a new one for it. */
    void moveToNewConnection(Attempt healthCheck) {
        ServerConnection silent = healthCheck.connection();
        silent.abandonAttempt();
        healthCheck.moveOff(silent);
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

    /** Closes the connection that has been idle longest; false where none is idle. */
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

    /** Opens a connection, or tries to a little later, when others have given back their descriptors. */
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
        String text = "to server " + server.id().text() + ", " + limits.servers() + " to servers";
        context.log().rateLimited("no room for a connection", text);
        attempt.failToConnect();
    }

    private boolean open(Attempt attempt) {
        if (attempt.server().address() == null || !makeRoom.getAsBoolean()) {
            return false;
        }
        attempt.setFailedLocally(false);
        limits.opened();
        new ServerConnection(context, this, loadReports, attempt).open(client);
        return true;
    }

    /** Opens a connection a little later, unless another one is assigned by then; false where that was done often enough. */
    boolean connectAgainLater(Attempt attempt) {
        if (!attempt.takeConnectRetry()) {
            return false;
        }
        context.vertx().setTimer(CONNECT_RETRY_DELAY_MS, timer -> openOrRetryLater(attempt));
        return true;
    }

    /** Gives a connection that carries no attempt its next one, the one that it was opened for first, or keeps it as idle. */
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

    /** The idle connections, never null. */
    IdleConnections idleConnections() {
        return idleConnections;
    }

    /** Forgets an attempt that has ended. */
    void onAttemptCompleted(Attempt attempt) {
        attempt.server().removeWaiting(attempt);
        if (!attempt.isHealthCheck()) {
            attempts.remove(attempt.request(), attempt);
        }
    }

    /** Forgets a connection that is being closed; its descriptor counts a moment longer. */
    void onConnectionClosed(ServerConnection connection) {
        limits.released();
        context.vertx().setTimer(DESCRIPTOR_RELEASE_DELAY_MS, timer -> limits.closed());
        idleConnections.remove(connection);
    }
}
