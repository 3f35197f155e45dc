package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import ploverdale.net.eventloop.NioSockets;
import ploverdale.net.postgres.ClientMessage;

/**
 * One client's connection: decodes its messages, runs them in order as far as the pipeline has capacity, and writes the
 * responses. {@link SessionState} describes its states. Used on the event loop only. Closing is idempotent; a closed
 * session holds no memory and no requests.
 */
public final class ClientSession {
    private final ClientRuntime runtime;
    private final NetSocket socket;
    private final SocketInput input;
    private final MessageDecoder decoder;
    private final InputQueue queue;
    private final RequestPipeline pipeline;
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
        this.pipeline = new RequestPipeline(runtime.memory());
        this.writer = new ResponseWriter(runtime, socket, this::processInput, this::close);
        this.messageHandler = new SessionMessageHandler(runtime, this);
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
        return decoder.countedBytes();
    }

    // -- Input

    private void onBytes(Buffer bytes) {
        input.onBytes(bytes, runtime.nowMs());
        if (!state.decodesInput()) {
            runtime.lingeringClose().logDiscarded(bytes.length());
            return;
        }
        handlingBytes = true;
        runtime.inputTimes().begin();
        try {
            decoder.feed(bytes);
            processInput();
        } catch (RuntimeException failure) { // broad catch: a fault closes only this connection
            runtime.log().fault("client connection fault", failure);
            close();
        } finally {
            runtime.inputTimes().end(bytes.length());
            handlingBytes = false;
        }
        if (runtime.status().isClosingIdle()) {
            closeIfIdle();
        }
    }

    /** Runs queued messages and decodes the bytes received, as far as the pipeline and the queue have capacity. */
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
        runtime.evictor().evictForMemory();
        pauseInputWhileFull();
    }

    /** Decodes messages; returns whether any was complete. Terminate takes effect before queued messages. */
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
        if (message.closesConnection()) {
            endInput();
        }
    }

    /** Runs queued messages. While input is paused, requests are rejected: a close by the client would be missed. */
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

    /** Ends the input at the message at the head of the stream: later messages are not run. */
    private void endInput() {
        state = decoder.skipMessage() ? SessionState.INPUT_ENDED : SessionState.INPUT_UNREADABLE;
    }

    /** Counts the requests after the message that ends the connection; they are rejected before it is closed. */
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
            runtime.limits().clearIncomplete(this);
        }
        if (incomplete) {
            runtime.limits().markIncomplete(this, runtime.nowMs());
        }
    }

    private void pauseInputWhileFull() {
        if (!isClosed() && !runtime.status().isReadingStopped()) {
            input.setPaused(queue.isFull());
        }
    }

    /** Runs the query that was held until the gateway started serving, and the messages after it. */
    void runHeldQuery() {
        messageHandler.runHeldQuery();
        processInput();
    }

    /** Reads immediately what the operating system has received. */
    void readNow() {
        input.readNow();
    }

    /** Stops reading from the socket. */
    void stopReading() {
        input.stop();
    }

    /** Returns whether the client has closed the connection; reads it first unless it has been read recently. */
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

    /** Returns whether the connection is closed or being closed. */
    boolean isClosed() {
        return state == SessionState.CLOSED;
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
            if (response.closesConnection()) {
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
        if (!decoder.hasUndecodedBytes() && queue.isEmpty() && !runtime.limits().hasIncompleteMessage(this)) {
            runtime.limits().markIdle(this, runtime.nowMs());
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

    /** Answers every request that was received and has no response yet as canceled, and starts no further attempts. */
    void cancelRequests() {
        for (PendingResponse response : pipeline.inFlight()) {
            runtime.inFlight().abandon(response.request());
            response.complete(RequestRejection.CANCELED.response());
        }
        messageHandler.cancelHeldQuery();
        queue.rejectRequests(RequestRejection.CANCELED);
        flush();
    }

    /** Returns whether a message has been read completely and not been answered. */
    boolean owesResponse() {
        boolean undecodedMessage = decoder.isStarted()
                && decoder.hasUndecodedBytes()
                && !runtime.limits().hasIncompleteMessage(this);
        return !pipeline.isEmpty() || undecodedMessage;
    }

    /** Returns whether only part of the startup message has been received. */
    boolean hasIncompleteStartup() {
        return !decoder.isStarted() && decoder.hasUndecodedBytes();
    }

    // -- Closing

    /** Answers incomplete input with an error and closes the connection; earlier requests are answered first. */
    void abortInput(String sqlState, String message) {
        if (isClosed()) {
            return;
        }
        runtime.limits().markStarted(this);
        runtime.limits().clearIncomplete(this);
        endInput();
        decoder.releaseMemory();
        if (state == SessionState.INPUT_UNREADABLE) {
            decoder.clear();
        }
        queue.add(new QueuedInput.Message(new ClientMessage.InvalidMessage(sqlState, message, true)));
        runQueued();
    }

    /**
     * Closes the connection if its client waits for no response; returns false if it stays open. Reads the socket once
     * more and shuts the output down right after that read: a request that arrived in between would be lost.
     */
    boolean closeIfIdle() {
        if (runtime.status().isReadingStopped() || handlingBytes || !isIdle()) {
            return false; // onBytes calls this again once the bytes have been handled
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
        return !isClosed()
                && pipeline.isEmpty()
                && queue.isEmpty()
                && decoder.isStarted()
                && !decoder.hasUndecodedBytes()
                && !messageHandler.isHoldingQuery();
    }

    /** Closes the connection after everything written has been sent; does nothing if it is already closed. */
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

    /** Unregisters the session, abandons its requests and releases its memory. Idempotent. */
    private void release() {
        if (isClosed()) {
            return;
        }
        state = SessionState.CLOSED;
        runtime.limits().onClientClosing(this);
        decoder.clear(); // remaining references to this session must not keep its bytes in memory
        decoder.releaseMemory();
        writer.releaseMemory();
        queue.clear();
        runtime.cancels().unregister(backendKey);
        runtime.sessions().remove(this);
        pipeline.inFlight().forEach(response -> runtime.inFlight().abandon(response.request()));
        pipeline.clear();
    }
}
