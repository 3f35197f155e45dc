package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import ploverdale.net.eventloop.NioSockets;
import ploverdale.net.postgres.ClientMessage;

/**
 * One client's connection: decodes its messages, runs them in order as far as the pipeline allows, and writes the responses.
 * Its states are those of {@link SessionState}. Used on the event loop only; closing is idempotent, and a session that is
 * closed holds no memory and no requests.
 */
public final class ClientSession {
    private final ClientRuntime runtime;
    private final NetSocket socket;
    private final SocketInput input;
    private final MessageDecoder decoder;
    private final InputQueue queue;
    private final RequestPipeline pipeline = new RequestPipeline();
    private final ResponseWriter writer;
    private final SessionMessageHandler messageHandler;
    private final CancelRegistry.BackendKey backendKey;
    private SessionState state = SessionState.ACTIVE;
    private boolean handlingBytes;
    private boolean processingScheduled;

    private ClientSession(ClientRuntime runtime, NetSocket socket) {
        this.runtime = runtime;
        this.socket = socket;
        this.input = new SocketInput(socket, runtime.nowMs());
        this.decoder = new MessageDecoder(runtime.memory());
        this.queue = new InputQueue(runtime.memory());
        this.writer = new ResponseWriter(runtime, socket, this::processInput, this::close);
        this.messageHandler = new SessionMessageHandler(runtime, this);
        this.backendKey = runtime.cancels().register(this);
    }

    /** Opens a session on a connection and registers it; it begins to read with the next turn of the event loop. */
    static void open(ClientRuntime runtime, NetSocket socket) {
        ClientSession session = new ClientSession(runtime, socket);
        socket.handler(session::onBytes);
        socket.closeHandler(closed -> session.onSocketClosed());
        socket.exceptionHandler(
                failure -> runtime.log().rateLimited("client connection", String.valueOf(failure.getMessage())));
        runtime.limits().came(session, runtime.nowMs());
        runtime.sessions().add(session);
    }

    /** The numbers by which a cancel message names this session. */
    CancelRegistry.BackendKey backendKey() {
        return backendKey;
    }

    /** Bytes of an incomplete message, which are counted in the memory budget. */
    int undecodedBytes() {
        return decoder.countedBytes();
    }

    // -- Input

    private void onBytes(Buffer bytes) {
        input.onBytes(bytes, runtime.nowMs());
        if (!state.decodesInput()) {
            runtime.lingeringClose().logDropped(bytes.length());
            return;
        }
        handlingBytes = true;
        try {
            decoder.feed(bytes);
            processInput();
        } catch (RuntimeException failure) { // broad catch: a fault here ends this connection and no other
            runtime.log().fault("client connection fault", failure);
            close();
        } finally {
            handlingBytes = false;
        }
        if (runtime.status().isClosingIdle()) {
            closeIfIdle();
        }
    }

    /** Runs what is queued and decodes what has come, as far as there is capacity. */
    private void processInput() {
        if (isClosed()) {
            return;
        }
        runQueued();
        boolean decoded = decodeMessages();
        if (isClosed()) {
            return;
        }
        decoder.countBytes();
        trackIncompleteMessage(decoded);
        runtime.evictor().releaseMemory();
        pauseInputWhileFull();
    }

    /** True if a message was complete. Terminate takes effect at once, whatever is queued: the client has closed. */
    private boolean decodeMessages() {
        boolean decoded = false;
        while (state == SessionState.ACTIVE && !queue.isFull()) {
            ClientMessage message = decoder.next();
            if (message == null) {
                return decoded;
            }
            decoded = true;
            if (message instanceof ClientMessage.Terminate) {
                close();
            } else {
                enqueue(message);
                runQueued();
            }
        }
        if (state.isInputEnded()) {
            countRequestsAfterEnd();
        }
        return decoded;
    }

    private void enqueue(ClientMessage message) {
        QueuedInput next = new QueuedInput.Message(message);
        boolean overloaded = queue.isOverReadAhead() || runtime.memory().isExhausted();
        queue.add(overloaded ? next.rejectedIfRequest(RequestRejection.OVERLOADED) : next);
        if (message.endsConnection()) {
            endInput();
        }
    }

    /** Nothing runs while the input is not read: the end of the connection could not be seen. */
    private void runQueued() {
        while (mayRunNext()) {
            QueuedInput next = queue.poll();
            QueuedInput runnable = input.isPaused() ? next.rejectedIfRequest(RequestRejection.OVERLOADED) : next;
            runnable.dispatchTo(messageHandler);
        }
    }

    private boolean mayRunNext() {
        return !isClosed()
                && !pipeline.isFull()
                && !writer.isBlocked()
                && !messageHandler.isHoldingQuery()
                && !queue.isEmpty();
    }

    /** The message at the head of the stream ends the connection: what comes behind it is not run. */
    private void endInput() {
        state = decoder.skipMessage() ? SessionState.INPUT_ENDED : SessionState.INPUT_UNREADABLE;
    }

    /** Each request behind the message that ends the connection is rejected before the connection is closed. */
    private void countRequestsAfterEnd() {
        if (state == SessionState.INPUT_ENDED && !decoder.countRequestsAfterEnd()) {
            state = SessionState.INPUT_UNREADABLE;
        }
        if (state == SessionState.INPUT_UNREADABLE) {
            decoder.clear();
        }
    }

    private void trackIncompleteMessage(boolean decoded) {
        boolean incomplete =
                decoder.hasUndecodedBytes() && decoder.isStarted() && state == SessionState.ACTIVE && !queue.isFull();
        if (!incomplete || decoded) {
            runtime.limits().whole(this);
        }
        if (incomplete) {
            runtime.limits().begun(this, runtime.nowMs());
        }
    }

    private void pauseInputWhileFull() {
        if (!isClosed() && !runtime.status().isReadingStopped()) {
            input.setPaused(queue.isFull());
        }
    }

    /** Runs the query that was held until the gateway serves, and what came behind it. */
    void runHeldQuery() {
        messageHandler.runHeldQuery();
        processInput();
    }

    /** Reads at once what the operating system has received. */
    void readNow() {
        input.readNow();
    }

    /** Reads nothing more. */
    void stopReading() {
        input.stop();
    }

    /** Whether the client has closed, which is looked up now if the connection was not read a moment ago. */
    boolean isClosedByClient() {
        if (isClosed() || input.isFresh(runtime.nowMs())) {
            return isClosed();
        }
        boolean endRead = input.readToEnd(this);
        input.markRead(runtime.nowMs());
        if (endRead) {
            release();
        }
        return isClosed();
    }

    /** Whether the connection is closed or being closed. */
    boolean isClosed() {
        return state == SessionState.CLOSED;
    }

    // -- Responses

    /** Reserves the place of a response that is completed later. */
    void awaitResponse(PendingResponse response) {
        pipeline.add(response);
    }

    /** Writes a response in its turn. */
    void respond(Buffer response) {
        pipeline.add(PendingResponse.completed(response));
        flush();
    }

    /** Answers a query that cannot be accepted. */
    void rejectInvalidQuery(String sqlState, String message) {
        logInvalidInput(sqlState, message);
        respond(ErrorResponses.error(sqlState, message));
    }

    /** Answers what cannot be accepted and closes the connection behind that. */
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

    /** Writes the responses whose turn it is. */
    void flush() {
        writeCompletedResponses();
        if (!isClosed() && pipeline.isEmpty()) {
            onAllAnswered();
        }
        if (!isClosed()) {
            writer.blockWhileFull();
        }
        scheduleProcessing();
    }

    private void writeCompletedResponses() {
        while (!isClosed()) {
            PendingResponse response = pipeline.pollCompleted();
            if (response == null) {
                return;
            }
            writer.write(response.response());
            if (response.endsConnection()) {
                rejectRequestsAfterEnd();
                close();
            }
        }
    }

    private void rejectRequestsAfterEnd() {
        for (int i = 0; i < decoder.requestsAfterEnd() && !isClosed(); i++) {
            socket.write(ErrorResponses.error(SqlStates.TOO_MANY_CONNECTIONS, "not run, this connection ends"));
        }
    }

    private void onAllAnswered() {
        if (!decoder.hasUndecodedBytes() && queue.isEmpty() && !runtime.limits().isUnfinished(this)) {
            runtime.limits().idle(this, runtime.nowMs());
        }
        if (runtime.status().isClosingIdle()) {
            closeIfIdle();
        }
    }

    private void scheduleProcessing() {
        if (processingScheduled || !decoder.hasUndecodedBytes() && queue.isEmpty()) {
            return;
        }
        processingScheduled = true;
        runtime.vertx().runOnContext(turn -> {
            processingScheduled = false;
            processInput();
        });
    }

    /** Answers every request that has come and has no response yet as canceled: none is attempted from now on. */
    void cancelRequests() {
        for (PendingResponse response : pipeline.inFlight()) {
            runtime.inFlight().abandon(response.request());
            response.complete(RequestRejection.CANCELED.response());
        }
        messageHandler.cancelHeldQuery();
        queue.rejectRequests(RequestRejection.CANCELED);
        flush();
    }

    /** Whether something has been read completely and not been answered. */
    boolean owesResponse() {
        boolean undecodedMessage = decoder.isStarted()
                && decoder.hasUndecodedBytes()
                && !runtime.limits().isUnfinished(this);
        return !pipeline.isEmpty() || undecodedMessage;
    }

    /** Whether part of the startup message has come. */
    boolean hasIncompleteStartup() {
        return !decoder.isStarted() && decoder.hasUndecodedBytes();
    }

    // -- Closing

    /** Ends the connection with an error in place of what is incomplete; requests before that are answered first. */
    void giveUp(String sqlState, String message) {
        if (isClosed()) {
            return;
        }
        runtime.limits().greeted(this);
        runtime.limits().whole(this);
        endInput();
        decoder.releaseMemory();
        if (state == SessionState.INPUT_UNREADABLE) {
            decoder.clear();
        }
        queue.add(new QueuedInput.Message(new ClientMessage.InvalidQuery(sqlState, message, true)));
        runQueued();
    }

    /**
     * Closes the connection if its client waits for nothing; false if it stays, as when a request on it had not been read yet.
     * Nothing happens between that last read and the end of the output: what came in between would be lost.
     */
    boolean closeIfIdle() {
        if (runtime.status().isReadingStopped() || handlingBytes || !isWaitingForNothing()) {
            return false; // called again once the bytes have been handled
        }
        readNow();
        if (!isWaitingForNothing()) {
            return false;
        }
        boolean outputEnded = NioSockets.shutdownOutputNow(socket);
        release();
        if (outputEnded) {
            runtime.lingeringClose().dropInput(socket);
        } else {
            runtime.lingeringClose().close(socket);
        }
        return true;
    }

    private boolean isWaitingForNothing() {
        return !isClosed()
                && pipeline.isEmpty()
                && queue.isEmpty()
                && decoder.isStarted()
                && !decoder.hasUndecodedBytes()
                && !messageHandler.isHoldingQuery();
    }

    /** Closes the connection behind what was written; does nothing if it is closed already. */
    void close() {
        if (isClosed()) {
            return;
        }
        release();
        input.setPaused(false);
        runtime.lingeringClose().close(socket);
    }

    private void onSocketClosed() {
        release();
        runtime.lingeringClose().onClosed(socket);
    }

    /** Forgets the session and abandons its requests; does nothing the second time. */
    private void release() {
        if (isClosed()) {
            return;
        }
        state = SessionState.CLOSED;
        runtime.limits().left(this);
        decoder.clear(); // what still refers to this session must not keep its bytes
        decoder.releaseMemory();
        writer.releaseMemory();
        queue.clear();
        runtime.cancels().unregister(backendKey);
        runtime.sessions().remove(this);
        pipeline.inFlight().forEach(response -> runtime.inFlight().abandon(response.request()));
        pipeline.clear();
    }
}
