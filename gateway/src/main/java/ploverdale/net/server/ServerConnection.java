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
 * One connection to a database server, which carries one attempt at a time; {@link ConnectionState} has its states. It closes itself
 * when it is lost, not ready in time, or receives a message out of order. The attempt that it carries closes it by
 * {@link #abandonAttempt}; the pool closes it while it carries none. Closing is idempotent, and when the connection closes itself it
 * completes the attempt, or has the pool move a health check to a new connection. Used on the event loop only.
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
    private NetSocket socket; // null while connecting
    private Attempt attempt; // null unless it awaits an answer
    private long writtenAt;
    private long idleSince = NEVER_IDLE;
    private long idleTimeBeforeAttempt = NEVER_IDLE;
    private boolean turnPassedSinceAnswer;

    /**
     * Creates a connection that is not open yet.
     *
     * @param opener the attempt that it is opened for, which it serves first unless another connection did
     */
    ServerConnection(PoolContext context, ServerConnectionPool pool, LoadReportReader loadReports, Attempt opener) {
        this.context = context;
        this.pool = pool;
        this.loadReports = loadReports;
        this.opener = opener;
        server = opener.server();
        address = server.address();
    }

    /** The server that it leads to, never null. */
    PooledServer server() {
        return server;
    }

    /** Where it leads to; the server's address when it was opened. */
    InetSocketAddress address() {
        return address;
    }

    /** The attempt that it was opened for, never null. */
    Attempt opener() {
        return opener;
    }

    // -- Idle time

    /** It becomes idle now. */
    void startIdling(long now) {
        idleSince = now;
    }

    /** For how long it has been idle, in tenths of a millisecond. */
    long idleTime(long now) {
        return now - idleSince;
    }

    /** For how long it had been idle before the attempt that it carries or carried last; below 0 where it is the first. */
    long idleTimeBeforeAttempt() {
        return idleTimeBeforeAttempt;
    }

    /** Whether the server or the network may have forgotten it before the attempt that it carries or carried last. */
    boolean wasLongIdle() {
        return idleTimeBeforeAttempt >= IdleConnections.LONG_IDLE;
    }

    private boolean wasReused() {
        return idleTimeBeforeAttempt >= 0;
    }

    /** Whether the server rejected the last attempt, perhaps since it has too many connections. */
    boolean wasRejected() {
        return protocol.response().isRejection();
    }

    /**
     * Whether a turn of the event loop has passed since the last answer, so that a surplus answer that came behind it in a segment of
     * its own would have been read.
     */
    boolean hasTurnPassedSinceAnswer() {
        return turnPassedSinceAnswer;
    }

    /** Offers itself to the pool again in the next turn of the event loop. */
    void releaseInNextTurn() {
        turnPassedSinceAnswer = true;
        context.vertx().runOnContext(turn -> {
            if (state != ConnectionState.CLOSED) {
                pool.release(this);
            }
        });
    }

    // -- Opening

    /** Connects, and offers itself to the pool once the handshake is complete. */
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
        socket.exceptionHandler(failure -> {}); // the close handler follows
        socket.closeHandler(closed -> onLost("closed by the server", Outcome.CONNECT_INTERRUPTED));
        socket.handler(this::onBytes);
        socket.write(MessageWriter.startup()).onFailure(this::onConnectFailed);
    }

    /** Only a connection that was refused or took too long counts against the server; a transient failure is retried first. */
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
        context.log().rateLimited("connection not made yet", server.id().text() + " " + cause.getMessage());
        close();
    }

    // -- Writing

    /** Writes the attempt, or ends it as never sent where it is not wanted any more. The connection carries no other. */
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

    /** Hands the message handlers what the operating system has received; the process may have been paused since. */
    void readNow() {
        NioSockets.readNow(socket);
    }

    // -- Reading

    private void onBytes(Buffer bytes) {
        try {
            decode(bytes);
        } catch (RuntimeException fault) {
            // broad catch: a fault while one connection is read must end that connection only
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
            onOutOfOrder("noise behind an answer");
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

    /** The answer is complete: the attempt ends with it. */
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
        LoadReport answerReport = loadReports.roleAndPosition(id, response.parameters(), writtenAt);
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
    }

    // -- Closing

    /** The attempt fails, since the server lives and may have run the statement; nothing of the answer is used. */
    @Override
    public void onOutOfOrder(String reason) {
        context.log().rateLimited("server out of order", server.id().text() + ": " + reason);
        if (attempt == null) {
            onLost(reason, Outcome.CONNECT_INTERRUPTED);
            return;
        }
        close();
        attempt.complete(Outcome.FAILED);
    }

    /** The connection has ended, and the attempt that depends on it with the outcome given, unless its bytes may have arrived. */
    private void onLost(String reason, Outcome outcomeIfUnwritten) {
        if (state == ConnectionState.CLOSED) {
            return;
        }
        boolean established = state.isEstablished();
        close();
        Attempt interrupted = established ? attempt : opener;
        boolean affected =
                interrupted != null && !interrupted.isCompleted() && (established || interrupted.connection() == null);
        if (!affected) {
            return;
        }
        DeliveryState delivery = established ? interrupted.deliveryState() : DeliveryState.NO_CONNECTION;
        context.log().rateLimited("connection lost", server.id().text() + " " + reason + ", " + delivery);
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

    /** Closes the connection without completing the attempt that it carries; for whoever completes or moves that. */
    void abandonAttempt() {
        attempt = null;
        close();
    }

    /** Closes the connection; does nothing where it is closed. The caller completes or moves the attempt that it carries, if any. */
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
