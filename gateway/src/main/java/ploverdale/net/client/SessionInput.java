package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;
import ploverdale.net.postgres.ClientMessage;

/**
 * The input of one client's connection: decodes messages, queues those that may not run yet, and runs the others in
 * order as far as the session accepts them. {@link SessionState} describes its states. Used on the event loop only.
 */
final class SessionInput {
    private static final long TICKS_PER_MS = 10;

    private final ClientRuntime runtime;
    private final ClientSession session;
    private final SocketInput socket;
    private final MessageDecoder decoder;
    private final InputQueue queue;
    private final SessionMessageHandler messageHandler;
    private SessionState state = SessionState.ACTIVE;
    private boolean running;

    SessionInput(ClientRuntime runtime, ClientSession session, SocketInput socket) {
        this.runtime = runtime;
        this.session = session;
        this.socket = socket;
        this.decoder = new MessageDecoder(runtime.memory());
        this.queue = new InputQueue(runtime.memory());
        this.messageHandler = new SessionMessageHandler(runtime, session);
    }

    /** Takes received bytes, and runs them now or when it is the session's turn. */
    void onBytes(Buffer bytes) {
        socket.onBytes(bytes.length(), runtime.nowMs(), runtime.eventLoop().lag() / TICKS_PER_MS);
        if (!state.decodesInput()) {
            runtime.lingeringClose().logDiscarded(bytes.length());
            return;
        }
        decoder.feed(bytes);
        if (running) {
            return; // read from within a message; the bytes are decoded after it
        }
        runtime.inputScheduler().onInputRead(session);
        decoder.countBytes();
        pauseWhileFull(runtime.inputScheduler().isWaiting(session));
    }

    /**
     * Runs queued messages and decodes the bytes received, as far as the pipeline, the queue and the quantum allow.
     *
     * @return whether the quantum is used up and input is left that could run
     */
    boolean run(InputScheduler.Quantum quantum) {
        if (isClosed()) {
            return false;
        }
        running = true;
        try {
            return runQueuedAndDecode(quantum);
        } catch (RuntimeException failure) { // broad catch: a fault closes only this connection
            runtime.log().fault("client connection fault", failure);
            session.close();
            return false;
        } finally {
            running = false;
        }
    }

    private boolean runQueuedAndDecode(InputScheduler.Quantum quantum) {
        runQueued(quantum);
        boolean decoded = decodeMessages(quantum);
        if (isClosed()) {
            return false;
        }
        boolean inputLeft = quantum.isUsedUp() && (mayRunNext() || mayDecodeNext());
        decoder.countBytes();
        trackIncompleteMessage(decoded, inputLeft);
        runtime.evictor().evictForMemory();
        pauseWhileFull(inputLeft);
        return inputLeft;
    }

    /** Decodes messages; returns whether any was complete. Terminate takes effect before queued messages. */
    private boolean decodeMessages(InputScheduler.Quantum quantum) {
        boolean decoded = false;
        while (state == SessionState.ACTIVE && !queue.isFull() && !(decoded && quantum.isUsedUp())) {
            ClientMessage message = decoder.next();
            if (message == null) {
                return decoded;
            }
            decoded = true;
            if (session.awaitsResponses() || !queue.isEmpty()) {
                socket.onPipelinedMessage();
            }
            if (message instanceof ClientMessage.Terminate) {
                session.close();
            } else {
                enqueue(message);
                runQueued(quantum);
            }
        }
        if (state.isInputEnded()) {
            countRequestsAfterEnd();
        }
        return decoded;
    }

    private boolean mayDecodeNext() {
        return state == SessionState.ACTIVE && !queue.isFull() && decoder.hasUndecodedBytes();
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
    private void runQueued(InputScheduler.Quantum quantum) {
        boolean ran = false;
        while (mayRunNext() && !(ran && quantum.isUsedUp())) {
            ran = true;
            QueuedInput next = queue.poll();
            QueuedInput runnable = socket.isPaused() ? next.rejectedIfRequest(RequestRejection.OVERLOADED) : next;
            runnable.dispatchTo(messageHandler);
        }
    }

    private boolean mayRunNext() {
        return !isClosed() && !queue.isEmpty() && !messageHandler.isHoldingQuery() && session.acceptsCommand();
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

    private void trackIncompleteMessage(boolean decoded, boolean inputLeft) {
        boolean incomplete = decoder.hasUndecodedBytes()
                && !inputLeft
                && decoder.isStarted()
                && state == SessionState.ACTIVE
                && !queue.isFull();
        if (!incomplete || decoded) {
            runtime.limits().clearIncomplete(session);
        }
        if (incomplete) {
            runtime.limits().markIncomplete(session, runtime.nowMs());
        }
    }

    /** Pauses the input while too much of it is queued, or undecoded although the session has to wait for its turn. */
    private void pauseWhileFull(boolean waitsForTurn) {
        if (!isClosed() && !runtime.status().isReadingStopped()) {
            boolean full = queue.isFull() || waitsForTurn && decoder.isBacklogFull();
            socket.setPaused(full, runtime.nowMs());
            if (full && state == SessionState.ACTIVE) {
                runtime.limits().markPaused(session, runtime.nowMs());
            } else {
                runtime.limits().clearPaused(session);
            }
        }
    }

    /** Runs the query that was held until the gateway started serving, and the messages after it. */
    void runHeldQuery() {
        messageHandler.runHeldQuery();
        runLater();
    }

    /** Has input run in a later turn of the event loop, if there is any. */
    void runLater() {
        if (!isClosed() && hasInput()) {
            runtime.inputScheduler().runLater(session);
        }
    }

    /** Returns whether messages are queued, or bytes of a message have been received. */
    boolean hasInput() {
        return decoder.hasUndecodedBytes() || !queue.isEmpty();
    }

    /** Returns whether the event loop is running this input. */
    boolean isRunning() {
        return running;
    }

    /** Returns whether the startup message has been read. */
    boolean isStarted() {
        return decoder.isStarted();
    }

    /** Returns whether received bytes are waiting to be decoded. */
    boolean hasUndecodedBytes() {
        return decoder.hasUndecodedBytes();
    }

    /** Returns the number of bytes of an incomplete message that are counted in the memory budget. */
    int undecodedBytes() {
        return decoder.countedBytes();
    }

    /** Returns the number of requests received after the end of the input, up to a maximum. */
    int requestsAfterEnd() {
        return decoder.requestsAfterEnd();
    }

    /** Returns whether a query is held until the gateway serves. */
    boolean isHoldingQuery() {
        return messageHandler.isHoldingQuery();
    }

    /** Answers all queued requests as canceled once it is their turn. */
    void cancelRequests() {
        messageHandler.cancelHeldQuery();
        queue.rejectRequests(RequestRejection.CANCELED);
    }

    /** Replaces all queued requests by rejections. */
    void rejectQueued() {
        queue.rejectRequests(RequestRejection.OVERLOADED);
    }

    /** Ends the input with an error, which is answered after all earlier messages; then the connection is closed. */
    void abort(String sqlState, String message) {
        if (state == SessionState.ACTIVE) {
            endInput();
        }
        countRequestsAfterEnd();
        decoder.countBytes();
        queue.add(new QueuedInput.Message(new ClientMessage.InvalidMessage(sqlState, message, true)));
        runtime.inputScheduler().runLater(session);
    }

    /** Returns whether the connection is closed or being closed. */
    boolean isClosed() {
        return state == SessionState.CLOSED;
    }

    /** Discards all input and releases its memory. */
    void close() {
        state = SessionState.CLOSED;
        runtime.inputScheduler().remove(session);
        decoder.clear(); // remaining references to the session must not keep its bytes in memory
        decoder.releaseMemory();
        queue.clear();
    }
}
