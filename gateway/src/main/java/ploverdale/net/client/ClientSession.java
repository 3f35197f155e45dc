package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import ploverdale.net.eventloop.NioSockets;

/**
 * One client's connection: has its input run as far as the pipeline has capacity, and writes the responses. {@link
 * SessionState} describes its states. Used on the event loop only. Closing is idempotent; a closed
 * session holds no memory and no requests.
 */
public final class ClientSession {
    private final ClientRuntime runtime;
    private final NetSocket socket;
    private final SocketInput socketInput;
    private final SessionInput input;
    private final RequestPipeline pipeline;
    private final ResponseWriter writer;
    private final CancelRegistry.BackendKey backendKey;

    private ClientSession(ClientRuntime runtime, NetSocket socket) {
        this.runtime = runtime;
        this.socket = socket;
        this.socketInput = new SocketInput(socket, runtime.nowMs());
        this.input = new SessionInput(runtime, this, socketInput);
        this.pipeline = new RequestPipeline(runtime.memory());
        this.writer = new ResponseWriter(runtime, socket, input::runLater, this::close);
        this.backendKey = runtime.cancels().register(this);
    }

    /** Opens and registers a session on a connection. It starts reading in the next turn of the event loop. */
    static void open(ClientRuntime runtime, NetSocket socket) {
        ClientSession session = new ClientSession(runtime, socket);
        socket.handler(session::onBytes);
        socket.closeHandler(closed -> session.onSocketClosed());
        socket.exceptionHandler(
                failure -> runtime.log().rateLimited("client connection", String.valueOf(failure.getMessage())));
        runtime.limits().onClientConnected(session, runtime.nowMs());
        runtime.sessions().add(session);
    }

    /** Returns the key by which a cancel message refers to this session. */
    CancelRegistry.BackendKey backendKey() {
        return backendKey;
    }

    /** Returns the number of bytes of an incomplete message that are counted in the memory budget. */
    int undecodedBytes() {
        return input.undecodedBytes();
    }

    // -- Input

    private void onBytes(Buffer bytes) {
        input.onBytes(bytes);
        if (runtime.status().isClosingIdle()) {
            closeIfIdle();
        }
    }

    /**
     * Runs input, as far as the pipeline and the quantum allow, and sends the responses.
     *
     * @return whether the quantum is used up and input is left that could run
     */
    boolean runInput(InputScheduler.Quantum quantum) {
        boolean inputLeft = input.run(quantum);
        if (!isClosed()) {
            writer.send();
            writer.blockWhileFull();
        }
        if (runtime.status().isClosingIdle()) {
            closeIfIdle();
        }
        return inputLeft && !isClosed();
    }

    /** Returns whether no input has been run yet, and the first read did not bring all that the client has sent. */
    boolean beginsWithMuchInput() {
        return !input.isStarted() && socketInput.mayHaveUnreadInput();
    }

    /** Returns whether the next command may run: fewer than the allowed number are unanswered, and the client reads. */
    boolean acceptsCommand() {
        return !pipeline.isFull() && !writer.isBlocked();
    }

    /** Returns whether the client waits for responses to earlier commands. */
    boolean awaitsResponses() {
        return !pipeline.isEmpty();
    }

    /** Runs the query that was held until the gateway started serving, and the messages after it. */
    void runHeldQuery() {
        input.runHeldQuery();
    }

    /** Reads immediately what the operating system has received. */
    void readNow() {
        socketInput.readNow();
    }

    /** Stops reading from the socket. */
    void stopReading() {
        socketInput.stop();
    }

    /** Returns whether the client has closed the connection; reads it first unless it has been read recently. */
    boolean isClosedByClient() {
        if (isClosed() || socketInput.isFresh(runtime.nowMs())) {
            return isClosed();
        }
        boolean endRead = socketInput.readToEnd(this);
        socketInput.markRead(runtime.nowMs());
        if (endRead) {
            release();
        }
        return isClosed();
    }

    /** Returns whether the client may have closed the connection a while ago, behind input that is unread. */
    boolean mayHideClose() {
        return socketInput.mayHideClose(runtime.nowMs());
    }

    /** Returns whether the connection is closed or being closed. */
    boolean isClosed() {
        return input.isClosed();
    }

    // -- Responses

    /** Reserves the pipeline slot of a response that is completed later. */
    void awaitResponse(PendingResponse response) {
        pipeline.add(response);
    }

    /** Writes a response once all earlier responses have been written. */
    void respond(Buffer response) {
        pipeline.add(PendingResponse.completed(response));
        flush();
    }

    /** Answers an invalid message with an error; the connection stays open. */
    void rejectInvalidMessage(String sqlState, String message) {
        logInvalidInput(sqlState, message);
        respond(ErrorResponses.error(sqlState, message));
    }

    /** Answers invalid input with an error and closes the connection once that response has been written. */
    void rejectAndClose(String sqlState, String message) {
        logInvalidInput(sqlState, message);
        pipeline.add(PendingResponse.closing(ErrorResponses.fatal(sqlState, message)));
        flush();
    }

    private void logInvalidInput(String sqlState, String message) {
        if (runtime.status().isServing()) {
            runtime.log().rateLimited("bad input from a client", sqlState + " " + message);
        }
    }

    /** Writes the responses that are complete, up to the first incomplete one. */
    void flush() {
        writeCompletedResponses();
        if (isClosed()) {
            return;
        }
        if (!input.isRunning()) { // otherwise runInput does this after the last message
            writer.send();
            writer.blockWhileFull();
            input.runLater();
        }
        if (pipeline.isEmpty()) {
            onAllAnswered();
        }
    }

    private void writeCompletedResponses() {
        while (!isClosed()) {
            PendingResponse response = pipeline.pollCompleted();
            if (response == null) {
                return;
            }
            writer.write(response.response());
            if (response.closesConnection()) {
                rejectRequestsAfterEnd();
                close();
            }
        }
    }

    private void rejectRequestsAfterEnd() {
        for (int i = 0; i < input.requestsAfterEnd() && !isClosed(); i++) {
            writer.write(ErrorResponses.error(SqlStates.TOO_MANY_CONNECTIONS, "not run, this connection ends"));
        }
    }

    private void onAllAnswered() {
        if (!input.hasInput() && !runtime.limits().hasIncompleteMessage(this)) {
            runtime.limits().markIdle(this, runtime.nowMs());
        }
        if (runtime.status().isClosingIdle()) {
            closeIfIdle();
        }
    }

    /** Answers every request that was received and has no response yet as canceled, and starts no further attempts. */
    void cancelRequests() {
        for (PendingResponse response : pipeline.inFlight()) {
            runtime.inFlight().abandon(response.request());
            response.complete(RequestRejection.CANCELED.response());
        }
        input.cancelRequests();
        flush();
    }

    /** Returns whether a message has been read completely and not been answered. */
    boolean owesResponse() {
        boolean undecodedMessage = input.isStarted()
                && input.hasUndecodedBytes()
                && !runtime.limits().hasIncompleteMessage(this);
        return !pipeline.isEmpty() || undecodedMessage;
    }

    /** Returns whether only part of the startup message has been received. */
    boolean hasIncompleteStartup() {
        return !input.isStarted() && input.hasUndecodedBytes();
    }

    // -- Closing

    /** Answers incomplete input with an error and closes the connection; earlier requests are answered first. */
    void abortInput(String sqlState, String message) {
        if (isClosed()) {
            return;
        }
        runtime.limits().markStarted(this);
        runtime.limits().clearIncomplete(this);
        input.abort(sqlState, message);
    }

    /**
     * Rejects all requests that have been received but not run, and closes the connection; requests that run are
     * answered first.
     */
    void shedInput(String sqlState, String message) {
        runtime.limits().clearPaused(this);
        if (!isClosed()) {
            input.rejectQueued();
            abortInput(sqlState, message);
        }
    }

    /**
     * Closes the connection if its client waits for no response; returns false if it stays open. Reads the socket once
     * more and shuts the output down right after that read: a request that arrived in between would be lost.
     */
    boolean closeIfIdle() {
        if (runtime.status().isReadingStopped() || input.isRunning() || !isIdle()) {
            return false; // runInput calls this again afterwards
        }
        readNow();
        if (!isIdle()) {
            return false;
        }
        boolean outputEnded = NioSockets.shutdownOutputNow(socket);
        release();
        runtime.lingeringClose().closeIdle(socket, outputEnded);
        return true;
    }

    private boolean isIdle() {
        return !isClosed() && pipeline.isEmpty() && input.isStarted() && !input.hasInput() && !input.isHoldingQuery();
    }

    /** Closes the connection after everything written has been sent; does nothing if it is already closed. */
    void close() {
        if (isClosed()) {
            return;
        }
        writer.send();
        release();
        socketInput.setPaused(false, runtime.nowMs());
        runtime.lingeringClose().close(socket);
    }

    private void onSocketClosed() {
        release();
        runtime.lingeringClose().onClosed(socket);
    }

    /** Unregisters the session, abandons its requests and releases its memory. Idempotent. */
    private void release() {
        if (isClosed()) {
            return;
        }
        input.close();
        runtime.limits().onClientClosing(this);
        writer.release();
        runtime.cancels().unregister(backendKey);
        runtime.sessions().remove(this);
        pipeline.inFlight().forEach(response -> runtime.inFlight().abandon(response.request()));
        pipeline.clear();
    }
}
