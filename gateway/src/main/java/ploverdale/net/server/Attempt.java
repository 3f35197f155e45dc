package ploverdale.net.server;

import io.vertx.core.buffer.Buffer;
import java.util.function.BooleanSupplier;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.model.RequestId;
import ploverdale.net.postgres.ResultRow;

/**
 * One use of a server connection, by an attempt at a request or by a health check: its deadline, how far its bytes have come, its
 * result. Whoever learns the result first completes it, which is the connection, the pool or the deadline; later calls have no effect,
 * so that the listener is called exactly once. Giving an attempt up closes the connection that carries it, and no other. Used on the
 * event loop only.
 */
final class Attempt {
    private static final int MAX_CONNECT_RETRIES = 10;
    private static final long NOT_MOVED = -1;

    private final PoolContext context;
    private final ServerConnectionPool pool;
    private final RequestId request;
    private final PooledServer server;
    private final long timeLimit;
    private final Work work;
    private final long startedAt;
    private long deadlineTimer;
    private ServerConnection connection;
    private DeliveryState deliveryState = DeliveryState.NO_CONNECTION;
    private boolean completed;
    private int connectRetriesLeft = MAX_CONNECT_RETRIES;
    private boolean failedLocally;
    private long idleTimeBeforeMove = NOT_MOVED;

    /**
     * What an attempt does once a connection is ready; nothing in it is null.
     *
     * @param mayWrite asked right before the bytes are written; where it is false, the attempt ends as never sent
     */
    record Work(BooleanSupplier mayWrite, RequestEncoder encoder, AttemptListener listener) {}

    /**
     * Creates an attempt whose time runs from now on.
     *
     * @param request null for a health check
     * @param timeLimit in tenths of a millisecond
     */
    Attempt(
            PoolContext context,
            ServerConnectionPool pool,
            RequestId request,
            PooledServer server,
            long timeLimit,
            Work work) {
        this.context = context;
        this.pool = pool;
        this.request = request;
        this.server = server;
        this.timeLimit = timeLimit;
        this.work = work;
        startedAt = context.now();
    }

    /** Starts the timer that gives the attempt up. */
    void startDeadline() {
        long limitMs = Math.max(1, PoolContext.toMsRoundedUp(timeLimit));
        deadlineTimer = context.vertx().setTimer(limitMs, timer -> giveUp(Outcome.TIMED_OUT));
    }

    /** The request that this is an attempt at; null for a health check. */
    RequestId request() {
        return request;
    }

    /** Whether this is a health check. */
    boolean isHealthCheck() {
        return request == null;
    }

    /** The server, never null. */
    PooledServer server() {
        return server;
    }

    /** Whether the result is known. */
    boolean isCompleted() {
        return completed;
    }

    /** Whether it has neither a result nor a connection yet. */
    boolean needsConnection() {
        return !completed && connection == null;
    }

    /** The connection that carries it, or null. */
    ServerConnection connection() {
        return connection;
    }

    /** How far its bytes have come, never null. */
    DeliveryState deliveryState() {
        return deliveryState;
    }

    // -- Writing

    /** Assigns the connection that carries it. */
    void assignTo(ServerConnection connection) {
        this.connection = connection;
    }

    /**
     * The time that is left until the deadline, in milliseconds; rounded down, since the server must not be given more time than the
     * client has left.
     */
    long remainingMs() {
        return PoolContext.toMsRoundedDown(timeLimit - (context.now() - startedAt));
    }

    /** Whether it is still wanted, as of now. */
    boolean mayWrite() {
        return work.mayWrite().getAsBoolean();
    }

    /** The bytes to write, never null. */
    Buffer encode(long timeoutMs) {
        return work.encoder().encode(timeoutMs);
    }

    /** Its bytes are handed to the socket. */
    void onWriteStarted() {
        deliveryState = DeliveryState.IN_DOUBT;
    }

    /** The socket has taken all bytes, or failed before that. */
    void onWriteEnded(boolean succeeded) {
        deliveryState = succeeded ? DeliveryState.WRITTEN : DeliveryState.NOT_WRITTEN;
    }

    // -- Connecting

    /** Uses up one of the retries for its connection; false where none is left. */
    boolean takeConnectRetry() {
        if (connectRetriesLeft == 0) {
            return false;
        }
        connectRetriesLeft--;
        return true;
    }

    /** Sets whether its last connect failed for lack of descriptors, ports or the like on this machine. */
    void setFailedLocally(boolean failedLocally) {
        this.failedLocally = failedLocally;
    }

    /** Takes a health check off a connection that has been idle for long, so that it gets another one. */
    void moveOff(ServerConnection silentConnection) {
        idleTimeBeforeMove = silentConnection.idleTimeBeforeAttempt();
        connection = null;
        deliveryState = DeliveryState.NO_CONNECTION;
        connectRetriesLeft = MAX_CONNECT_RETRIES;
    }

    /** Whether it was moved to another connection; done once at most. */
    boolean wasMoved() {
        return idleTimeBeforeMove != NOT_MOVED;
    }

    /** For how long the connection that it was moved off had been idle, in tenths of a millisecond. */
    long idleTimeBeforeMove() {
        return idleTimeBeforeMove;
    }

    // -- Result

    /** Stops waiting for the answer, and closes the connection that carries the attempt, if one does. */
    void giveUp(Outcome outcome) {
        if (completed) {
            return;
        }
        if (connection != null) {
            connection.abandonAttempt();
        }
        complete(deliveryState.mayHaveArrived() ? outcome : unsentOutcome(outcome));
    }

    /** No connection could be opened. */
    void failToConnect() {
        complete(unsentOutcome(Outcome.CONNECT_FAILED));
    }

    /**
     * The outcome where nothing was written. A request was never sent, whatever the cause; a health check says nothing about its server
     * only where the cause was a local one.
     */
    private Outcome unsentOutcome(Outcome ofServer) {
        return !isHealthCheck() || failedLocally ? Outcome.NEVER_SENT : ofServer;
    }

    /** Ends the attempt without an answer that can be used. */
    void complete(Outcome outcome) {
        complete(outcome, null, null, null);
    }

    /** Ends the attempt; row and reports may be null. Does nothing where it has ended before. */
    void complete(Outcome outcome, ResultRow row, LoadReport answerReport, LoadReport loadReport) {
        if (completed) {
            return;
        }
        completed = true;
        context.vertx().cancelTimer(deadlineTimer);
        pool.onAttemptCompleted(this);
        long duration = Math.max(0, context.now() + 1 - startedAt);
        work.listener().onAttemptEnded(new AttemptResult(outcome, row, answerReport, loadReport, duration));
    }
}
