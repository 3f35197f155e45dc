package ploverdale.net.server;

import io.vertx.core.buffer.Buffer;
import ploverdale.net.postgres.ServerMessage;
import ploverdale.net.postgres.ServerMessageHandler;
import ploverdale.net.postgres.ServerMessageReader;

/**
 * The client side of the PostgreSQL protocol on one connection: decodes what the server sends, checks that each message
 * is allowed in the connection's current state, and collects the answer. Reports the results to its {@link Listener}.
 * Closes nothing itself, and stops decoding once the listener's state is CLOSED. Used on the event loop only.
 */
final class ServerProtocol implements ServerMessageHandler {

    /** The connection that the messages belong to. */
    interface Listener {

        /** Returns the connection's current state; never null. */
        ConnectionState state();

        /** Called when the server has accepted the connection. */
        void onHandshakeCompleted();

        /** Called when the server has refused the connection with this SQLSTATE. */
        void onHandshakeRefused(String sqlState);

        /**
         * Called when the awaited answer is complete.
         *
         * @param idle whether the server has no transaction open on the connection
         */
        void onAnswerCompleted(boolean idle);

        /**
         * Called when the server has sent a message that is malformed or not allowed in the current state. Nothing that
         * it sends on this connection can be trusted any more.
         */
        void onProtocolViolation(String reason);
    }

    private final Listener listener;
    private final ServerMessageReader reader = new ServerMessageReader();
    private ServerResponse response = new ServerResponse();

    ServerProtocol(Listener listener) {
        this.listener = listener;
    }

    /** Called before a request is written; messages received from now on belong to its answer. */
    void startResponse() {
        response = new ServerResponse();
    }

    /** Returns what has been received since the last request was written; never null. */
    ServerResponse response() {
        return response;
    }

    /** Decodes the bytes and handles each message that is complete with them. */
    void decode(Buffer bytes) {
        reader.feed(bytes);
        ServerMessage message = nextMessage();
        while (message != null) {
            message.dispatchTo(this);
            message = nextMessage();
        }
    }

    private ServerMessage nextMessage() {
        return listener.state() == ConnectionState.CLOSED ? null : reader.next();
    }

    /** Returns whether part of an incomplete message is buffered. */
    boolean hasUndecodedBytes() {
        return reader.bufferedBytes() > 0;
    }

    @Override
    public void onIgnorable(ServerMessage.Ignorable message) {
        countAsynchronousMessage();
    }

    @Override
    public void onParameterStatus(ServerMessage.ParameterStatus message) {
        if (countAsynchronousMessage() && !response.accept(message)) {
            listener.onProtocolViolation(ServerResponse.MAX_PARAMETERS + " values told before an answer");
        }
    }

    private boolean countAsynchronousMessage() {
        boolean accepted = response.acceptAsynchronousMessage();
        if (!accepted) {
            listener.onProtocolViolation(ServerResponse.MAX_ASYNCHRONOUS_MESSAGES + " values and notices beside an answer");
        }
        return accepted;
    }

    @Override
    public void onMalformed(ServerMessage.Malformed message) {
        listener.onProtocolViolation(message.description());
    }

    @Override
    public void onAuthenticationOk(ServerMessage.AuthenticationOk message) {
        if (listener.state() != ConnectionState.HANDSHAKE) {
            reportUnexpectedMessage();
        }
    }

    @Override
    public void onRowDescription(ServerMessage.RowDescription message) {
        if (!isAnswerExpected() || !response.accept(message)) {
            reportUnexpectedMessage();
        }
    }

    @Override
    public void onDataRow(ServerMessage.DataRow message) {
        if (!isAnswerExpected() || !response.accept(message)) {
            reportUnexpectedMessage();
        }
    }

    @Override
    public void onCommandComplete(ServerMessage.CommandComplete message) {
        if (!isAnswerExpected() || !response.accept(message)) {
            reportUnexpectedMessage();
        }
    }

    @Override
    public void onErrorResponse(ServerMessage.ErrorResponse message) {
        if (listener.state() == ConnectionState.HANDSHAKE) {
            listener.onHandshakeRefused(message.code());
        } else if (!isAnswerExpected() || !response.accept(message)) {
            reportUnexpectedMessage();
        }
    }

    @Override
    public void onReadyForQuery(ServerMessage.ReadyForQuery message) {
        if (listener.state() == ConnectionState.HANDSHAKE) {
            listener.onHandshakeCompleted();
        } else if (isAnswerExpected() && response.isEnded()) {
            listener.onAnswerCompleted(message.idle());
        } else {
            reportUnexpectedMessage();
        }
    }

    private boolean isAnswerExpected() {
        return listener.state() == ConnectionState.AWAITING_ANSWER;
    }

    /**
     * Reports a message of an answer that is out of order, or that no attempt awaits. It must not reach the next
     * attempt.
     */
    private void reportUnexpectedMessage() {
        listener.onProtocolViolation(
                switch (listener.state()) {
                    case HANDSHAKE -> "an answer before any query";
                    case AWAITING_ANSWER -> "an answer out of order";
                    default -> "an answer without a query";
                });
    }
}
