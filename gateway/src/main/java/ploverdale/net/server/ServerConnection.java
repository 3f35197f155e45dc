package ploverdale.net.server;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.net.InetSocketAddress;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.model.ServerId;
import ploverdale.net.eventloop.NioSockets;
import ploverdale.net.postgres.MessageWriter;

/**
 * One connection to a database server, which carries one attempt at a time; see {@link ConnectionState} for its states.
 * It closes itself when it is lost, is not ready in time, or receives an unexpected message. The attempt that it
 * carries closes it with {@link #abandonAttempt}; the pool closes it while it carries no attempt. Closing is
 * idempotent. A connection that closes itself completes its attempt, or has the pool move a health check to a new
 * connection. Used on the event loop only.
 */
final class ServerConnection implements ServerProtocol.Listener {
    private static final long NEVER_IDLE = -1;

    private final PoolContext context;
    private final ServerConnectionPool pool;
    private final LoadReportReader loadReports;
    private final PooledServer server;
    private final InetSocketAddress address;
    private final Attempt opener;
    private final ServerProtocol protocol = new ServerProtocol(this);
    private ConnectionState state = ConnectionState.CONNECTING;
    private long connectTimer;
    private NetSocket socket; // null until the TCP connection is established
    private Attempt attempt; // null unless the connection awaits an answer
    private long writtenAt;
    private long idleSince = NEVER_IDLE;
    private long idleTimeBeforeAttempt = NEVER_IDLE;
    private boolean turnPassedSinceAnswer;

    /**
     * Creates a connection that is not open yet.
     *
     * @param opener the attempt that the connection is opened for; it is carried first, unless another connection has
     *     been assigned to it by then
     */
    ServerConnection(PoolContext context, ServerConnectionPool pool, LoadReportReader loadReports, Attempt opener) {
        this.context = context;
        this.pool = pool;
        this.loadReports = loadReports;
        this.opener = opener;
        server = opener.server();
        address = server.address();
    }

    /** Returns the server at the other end; never null. */
    PooledServer server() {
        return server;
    }

    /** Returns the address that the server had when the connection was opened. */
    InetSocketAddress address() {
        return address;
    }

    /** Returns the attempt that the connection was opened for; never null. */
    Attempt opener() {
        return opener;
    }

    // -- Idle time

    /** Called when the connection becomes idle. */
    void startIdling(long now) {
        idleSince = now;
    }

    /** Returns how long the connection has been idle, in tenths of a millisecond. */
    long idleTime(long now) {
        return now - idleSince;
    }

    /**
     * Returns how long the connection had been idle before its current or most recent attempt, in tenths of a
     * millisecond; below 0 if that attempt is its first.
     */
    long idleTimeBeforeAttempt() {
        return idleTimeBeforeAttempt;
    }

    /**
     * Returns whether the connection was idle for so long before its current or most recent attempt that the server or
     * the network may have dropped it.
     */
    boolean wasLongIdle() {
        return idleTimeBeforeAttempt >= IdleConnections.LONG_IDLE_TICKS;
    }

    private boolean wasReused() {
        return idleTimeBeforeAttempt >= 0;
    }

    /** Returns whether the server rejected the last attempt, possibly because it has too many connections. */
    boolean wasRejected() {
        return protocol.response().isRejection();
    }

    /**
     * Returns whether a turn of the event loop has passed since the last answer. By then, a surplus answer that
     * followed in a TCP segment of its own would have been read.
     */
    boolean hasTurnPassedSinceAnswer() {
        return turnPassedSinceAnswer;
    }

    /** Returns the connection to the pool in the next turn of the event loop. */
    void releaseInNextTurn() {
        turnPassedSinceAnswer = true;
        context.vertx().runOnContext(turn -> {
            if (state != ConnectionState.CLOSED) {
                pool.release(this);
            }
        });
    }

    // -- Opening

    /** Connects, and hands the connection to the pool once the handshake is complete. */
    void open(NetClient client) {
        long timeoutMs = PoolContext.toMsRoundedUp(context.settings().connectLimit());
        connectTimer = context.vertx().setTimer(timeoutMs, timer -> onLost("not up in time", Outcome.CONNECT_FAILED));
        client.connect(SocketAddress.inetSocketAddress(address)).onComplete(this::onConnected, this::onConnectFailed);
    }

    private void onConnected(NetSocket connected) {
        socket = connected;
        if (state == ConnectionState.CLOSED) {
            socket.close();
            return;
        }
        state = ConnectionState.HANDSHAKE;
        socket.exceptionHandler(failure -> {}); // the close handler is called next
        socket.closeHandler(closed -> onLost("closed by the server", Outcome.CONNECT_INTERRUPTED));
        socket.handler(this::onBytes);
        socket.write(MessageWriter.startup()).onFailure(this::onConnectFailed);
    }

    /** Retries after a transient failure. Only a refused connection or a timeout counts against the server. */
    private void onConnectFailed(Throwable cause) {
        ConnectFailure failure = ConnectFailure.of(cause);
        opener.setFailedLocally(failure == ConnectFailure.LOCAL);
        boolean retried = state != ConnectionState.CLOSED
                && failure.isTransient()
                && opener.needsConnection()
                && pool.connectAgainLater(opener);
        if (!retried) {
            onLost(String.valueOf(cause.getMessage()), failure.outcome());
            return;
        }
        context.log().rateLimited("connection not made yet", server.id().value() + " " + cause.getMessage());
        close();
    }

    // -- Writing

    /**
     * Writes the attempt, or completes it as never sent if it is no longer wanted. To be called only while the
     * connection carries no attempt.
     */
    void write(Attempt next) {
        long timeoutMs = next.remainingMs();
        boolean wanted = timeoutMs > 0 && next.mayWrite();
        next.assignTo(this);
        if (!wanted) {
            next.complete(Outcome.NEVER_SENT);
            pool.release(this);
            return;
        }
        state = ConnectionState.AWAITING_ANSWER;
        attempt = next;
        protocol.startResponse();
        turnPassedSinceAnswer = false;
        writtenAt = context.now();
        idleTimeBeforeAttempt = idleSince == NEVER_IDLE ? NEVER_IDLE : writtenAt - idleSince;
        next.onWriteStarted();
        socket.write(next.encode(timeoutMs))
                .onComplete(written -> next.onWriteEnded(true), failure -> onWriteFailed(next, failure));
    }

    private void onWriteFailed(Attempt written, Throwable cause) {
        written.onWriteEnded(false);
        onLost("not written whole", ConnectFailure.of(cause).outcome());
    }

    /**
     * Processes at once what the operating system has already received on this connection. Such bytes may be unread if
     * the process was paused.
     */
    void readNow() {
        NioSockets.readNow(socket);
    }

    // -- Reading

    private void onBytes(Buffer bytes) {
        try {
            decode(bytes);
        } catch (RuntimeException fault) {
            // broad catch: an exception while reading one connection must close that connection only
            context.log().fault("server connection fault", fault);
            onLost("fault", Outcome.CONNECT_INTERRUPTED);
        }
    }

    private void decode(Buffer bytes) {
        protocol.decode(bytes);
        if (state != ConnectionState.ANSWERED) {
            return;
        }
        state = ConnectionState.READY;
        if (protocol.hasUndecodedBytes()) {
            onProtocolViolation("noise behind an answer");
        } else {
            pool.release(this);
        }
    }

    @Override
    public ConnectionState state() {
        return state;
    }

    @Override
    public void onHandshakeCompleted() {
        context.vertx().cancelTimer(connectTimer);
        state = ConnectionState.ANSWERED;
    }

    @Override
    public void onHandshakeRefused(String sqlState) {
        onLost("refused with " + sqlState, Outcome.CONNECT_FAILED);
    }

    @Override
    public void onAnswerCompleted(boolean idle) {
        state = ConnectionState.ANSWERED;
        completeAttempt();
        if (!idle) {
            close();
        }
    }

    /** Completes the attempt with the answer that has been received. */
    private void completeAttempt() {
        Attempt answered = attempt;
        ServerResponse response = protocol.response();
        attempt = null;
        if (wasReused()) {
            pool.idleConnections().onReuseSucceeded(idleTimeBeforeAttempt);
        }
        if (answered.wasMoved()) {
            pool.idleConnections().onReuseFailed(server, answered.idleTimeBeforeMove());
        }
        ServerId id = server.id();
        LoadReport answerReport =
                loadReports.roleAndPosition(id, response.parameters(), writtenAt, answered.mayBeRepeat());
        LoadReport loadReport = loadReports.reportInAnswer(id, response.parameters(), writtenAt);
        if (response.hasError()) {
            Outcome outcome = response.errorOutcome(answered.isHealthCheck());
            answered.complete(outcome, null, answerReport, loadReport);
        } else if (!response.hasRow()) {
            answered.complete(Outcome.FAILED, null, answerReport, loadReport);
        } else if (answered.isHealthCheck()) {
            LoadReport requested = loadReports.reportInHealthCheck(id, response.value(), writtenAt);
            answered.complete(Outcome.SUCCEEDED, null, answerReport, requested != null ? requested : loadReport);
        } else {
            answered.complete(Outcome.SUCCEEDED, response.row(), answerReport, loadReport);
        }
        response.releaseValue();
    }

    // -- Closing

    /**
     * {@inheritDoc}
     *
     * <p>The attempt fails, since the server is running and may have run the statement. Nothing of the answer is used.
     */
    @Override
    public void onProtocolViolation(String reason) {
        context.log().rateLimited("server out of order", server.id().value() + ": " + reason);
        if (attempt == null) {
            onLost(reason, Outcome.CONNECT_INTERRUPTED);
            return;
        }
        close();
        attempt.complete(Outcome.FAILED);
    }

    /**
     * Called when the connection is lost. Closes it, and completes the attempt that depends on it or moves a health
     * check to a new connection.
     *
     * @param outcomeIfUnwritten the outcome of the attempt if the server cannot have received its bytes
     */
    private void onLost(String reason, Outcome outcomeIfUnwritten) {
        if (state == ConnectionState.CLOSED) {
            return;
        }
        boolean established = state.isEstablished();
        close();
        Attempt interrupted = established ? attempt : opener;
        boolean attemptAffected =
                interrupted != null && !interrupted.isCompleted() && (established || interrupted.connection() == null);
        if (!attemptAffected) {
            return;
        }
        DeliveryState delivery = established ? interrupted.deliveryState() : DeliveryState.NO_CONNECTION;
        context.log().rateLimited("connection lost", server.id().value() + " " + reason + ", " + delivery);
        ServerResponse response = protocol.response();
        if (response.isConclusive()) {
            completeAttempt();
            return;
        }
        if (wasReused() && !response.hasColumn()) {
            pool.idleConnections().onReuseFailed(server, idleTimeBeforeAttempt);
        }
        if (interrupted.isHealthCheck() && wasLongIdle() && !interrupted.wasMoved()) {
            pool.moveToNewConnection(interrupted);
            return;
        }
        boolean mayHaveArrived = interrupted.deliveryState().mayHaveArrived();
        interrupted.complete(mayHaveArrived ? Outcome.CONNECTION_LOST : outcomeIfUnwritten);
    }

    /** Closes the connection without completing its attempt; the caller completes the attempt or moves it. */
    void abandonAttempt() {
        attempt = null;
        close();
    }

    /**
     * Closes the connection; does nothing if it is closed. If the connection carries an attempt, the caller completes
     * or moves that attempt.
     */
    void close() {
        if (state == ConnectionState.CLOSED) {
            return;
        }
        state = ConnectionState.CLOSED;
        pool.onConnectionClosed(this);
        context.vertx().cancelTimer(connectTimer);
        if (socket != null) {
            socket.close();
        }
    }
}
