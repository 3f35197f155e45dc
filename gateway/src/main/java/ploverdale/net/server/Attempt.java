package ploverdale.net.server;

import io.vertx.core.buffer.Buffer;
import java.util.function.BooleanSupplier;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.model.RequestId;
import ploverdale.net.postgres.ResultRow;

/**
 * One use of a server connection, by an attempt at a request or by a health check: holds its deadline, its delivery
 * state and its result. The connection, the pool or the deadline timer completes it, whichever learns the result first;
 * later completions have no effect, so that the listener is called exactly once. Abandoning an attempt closes the
 * connection that carries it, and no other. Used on the event loop only.
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
     * What an attempt writes once a connection is ready, and who receives its result. No component is null.
     *
     * @param mayWrite evaluated right before the bytes are written; if it returns false, the attempt ends as never sent
     * @param mayBeRepeat whether the request may have run before
     */
    record Work(BooleanSupplier mayWrite, RequestEncoder encoder, boolean mayBeRepeat, AttemptListener listener) {}

    /**
     * Creates an attempt whose time limit counts from now on.
     *
     * @param request the request that this is an attempt at; null for a health check
     * @param timeLimit the time limit, in tenths of a millisecond
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

    /** Starts the timer that abandons the attempt at its deadline. */
    void startDeadline() {
        long limitMs = Math.max(1, PoolContext.toMsRoundedUp(timeLimit));
        deadlineTimer = context.vertx().setTimer(limitMs, timer -> abandon(Outcome.TIMED_OUT));
    }

    /** Returns the request that this is an attempt at; null for a health check. */
    RequestId request() {
        return request;
    }

    /** Returns whether this is a health check. */
    boolean isHealthCheck() {
        return request == null;
    }

    /** Returns whether the request may have run before, so that the server may answer with the result of that run. */
    boolean mayBeRepeat() {
        return work.mayBeRepeat();
    }

    /** Returns the server that the attempt is sent to; never null. */
    PooledServer server() {
        return server;
    }

    /** Returns whether the result is known. */
    boolean isCompleted() {
        return completed;
    }

    /** Returns whether the attempt has neither a result nor a connection yet. */
    boolean needsConnection() {
        return !completed && connection == null;
    }

    /** Returns the connection that carries the attempt, or null if it has none. */
    ServerConnection connection() {
        return connection;
    }

    /** Returns how far the bytes of the attempt have been written; never null. */
    DeliveryState deliveryState() {
        return deliveryState;
    }

    // -- Writing

    /** Sets the connection that carries the attempt. */
    void assignTo(ServerConnection connection) {
        this.connection = connection;
    }

    /**
     * Returns the time left until the deadline, in milliseconds. It is rounded down, since the server must not be given
     * more time than the client has left.
     */
    long remainingMs() {
        return PoolContext.toMsRoundedDown(timeLimit - (context.now() - startedAt));
    }

    /** Returns whether the bytes of the attempt may still be written. */
    boolean mayWrite() {
        return work.mayWrite().getAsBoolean();
    }

    /**
     * Returns the bytes to write; never null.
     *
     * @param timeoutMs the time that the server has for the request, in milliseconds
     */
    Buffer encode(long timeoutMs) {
        return work.encoder().encode(timeoutMs);
    }

    /** Called when the bytes of the attempt are handed to the socket. */
    void onWriteStarted() {
        deliveryState = DeliveryState.IN_DOUBT;
    }

    /** Called when the socket has taken all bytes, or has failed before that. */
    void onWriteEnded(boolean succeeded) {
        deliveryState = succeeded ? DeliveryState.WRITTEN : DeliveryState.NOT_WRITTEN;
    }

    // -- Connecting

    /** Uses up one of the connect retries of the attempt; returns false if none is left. */
    boolean takeConnectRetry() {
        if (connectRetriesLeft == 0) {
            return false;
        }
        connectRetriesLeft--;
        return true;
    }

    /** Sets whether the last connect failed because this machine lacked descriptors, ports or other resources. */
    void setFailedLocally(boolean failedLocally) {
        this.failedLocally = failedLocally;
    }

    /**
     * Detaches a health check from a connection that had been idle for long and did not answer, so that the pool can
     * assign another connection to it.
     */
    void detachFrom(ServerConnection unresponsiveConnection) {
        idleTimeBeforeMove = unresponsiveConnection.idleTimeBeforeAttempt();
        connection = null;
        deliveryState = DeliveryState.NO_CONNECTION;
        connectRetriesLeft = MAX_CONNECT_RETRIES;
    }

    /** Returns whether the health check was moved to another connection, which happens at most once. */
    boolean wasMoved() {
        return idleTimeBeforeMove != NOT_MOVED;
    }

    /**
     * Returns how long the connection from which the health check was moved had been idle, in tenths of a millisecond;
     * below 0 if it was not moved.
     */
    long idleTimeBeforeMove() {
        return idleTimeBeforeMove;
    }

    // -- Result

    /**
     * Stops waiting for the answer, and closes the connection that carries the attempt, if there is one. Does nothing
     * if the attempt has been completed.
     *
     * @param outcome the outcome if the server may have received the request
     */
    void abandon(Outcome outcome) {
        if (completed) {
            return;
        }
        if (connection != null) {
            connection.abandonAttempt();
        }
        complete(deliveryState.mayHaveArrived() ? outcome : unsentOutcome(outcome));
    }

    /** Completes the attempt, for which no connection could be opened. */
    void failToConnect() {
        complete(unsentOutcome(Outcome.CONNECT_FAILED));
    }

    /**
     * Returns the outcome of an attempt of which nothing was written. A request was never sent, whatever the cause. A
     * failed health check counts against its server unless the cause was a local one.
     */
    private Outcome unsentOutcome(Outcome ofServer) {
        return !isHealthCheck() || failedLocally ? Outcome.NEVER_SENT : ofServer;
    }

    /** Completes the attempt without a usable answer. */
    void complete(Outcome outcome) {
        complete(outcome, null, null, null);
    }

    /** Completes the attempt; row and reports may be null. Does nothing if it has been completed before. */
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
