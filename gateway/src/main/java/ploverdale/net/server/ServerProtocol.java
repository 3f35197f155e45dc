package ploverdale.net.server;

import io.vertx.core.buffer.Buffer;
import ploverdale.net.postgres.ServerMessage;
import ploverdale.net.postgres.ServerMessageHandler;
import ploverdale.net.postgres.ServerMessageReader;

/**
 * The order of messages on one connection: decodes what the server sends, checks that each message may come in the connection's
 * present state, and collects the answer. Reports what it finds to its {@link Listener}; closes nothing itself, and decodes nothing more
 * once the listener's state is CLOSED. Used on the event loop only.
 */
final class ServerProtocol implements ServerMessageHandler {

    /** The connection that the messages belong to. */
    interface Listener {

        /** The connection's present state, never null. */
        ConnectionState state();

        /** The server accepted the connection. */
        void onHandshakeCompleted();

        /** The server refused the connection with this SQLSTATE. */
        void onHandshakeRefused(String sqlState);

        /**
         * The answer that the connection waited for is complete.
         *
         * @param idle whether the server has left no transaction open
         */
        void onAnswerCompleted(boolean idle);

        /** Nothing that the server sends on this connection can be trusted any more. */
        void onOutOfOrder(String reason);
    }

    private final Listener listener;
    private final ServerMessageReader reader = new ServerMessageReader();
    private ServerResponse response = new ServerResponse();

    ServerProtocol(Listener listener) {
        this.listener = listener;
    }

    /** A request is about to be written; what comes from now on belongs to its answer. */
    void startResponse() {
        response = new ServerResponse();
    }

    /** What has come since the last request was written, never null. */
    ServerResponse response() {
        return response;
    }

    /** Decodes the bytes and reports each message that is complete with them. */
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

    /** Whether part of a message is left that is not complete yet. */
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
            listener.onOutOfOrder(ServerResponse.MAX_PARAMETERS + " values told before an answer");
        }
    }

    private boolean countAsynchronousMessage() {
        boolean accepted = response.acceptAsynchronousMessage();
        if (!accepted) {
            listener.onOutOfOrder(ServerResponse.MAX_ASYNCHRONOUS_MESSAGES + " values and notices beside an answer");
        }
        return accepted;
    }

    @Override
    public void onMalformed(ServerMessage.Malformed message) {
        listener.onOutOfOrder(message.description());
    }

    @Override
    public void onAuthenticationOk(ServerMessage.AuthenticationOk message) {
        if (listener.state() != ConnectionState.HANDSHAKE) {
            rejectAnswer();
        }
    }

    @Override
    public void onRowDescription(ServerMessage.RowDescription message) {
        if (!isAnswerExpected() || !response.accept(message)) {
            rejectAnswer();
        }
    }

    @Override
    public void onDataRow(ServerMessage.DataRow message) {
        if (!isAnswerExpected() || !response.accept(message)) {
            rejectAnswer();
        }
    }

    @Override
    public void onCommandComplete(ServerMessage.CommandComplete message) {
        if (!isAnswerExpected() || !response.accept(message)) {
            rejectAnswer();
        }
    }

    @Override
    public void onErrorResponse(ServerMessage.ErrorResponse message) {
        if (listener.state() == ConnectionState.HANDSHAKE) {
            listener.onHandshakeRefused(message.code());
        } else if (!isAnswerExpected() || !response.accept(message)) {
            rejectAnswer();
        }
    }

    @Override
    public void onReadyForQuery(ServerMessage.ReadyForQuery message) {
        if (listener.state() == ConnectionState.HANDSHAKE) {
            listener.onHandshakeCompleted();
        } else if (isAnswerExpected() && response.isEnded()) {
            listener.onAnswerCompleted(message.idle());
        } else {
            rejectAnswer();
        }
    }

    private boolean isAnswerExpected() {
        return listener.state() == ConnectionState.AWAITING_ANSWER;
    }

    /** Part of an answer is out of order, or no attempt waits for one: it must not reach the next attempt. */
    private void rejectAnswer() {
        listener.onOutOfOrder(
                switch (listener.state()) {
                    case HANDSHAKE -> "an answer before any query";
                    case AWAITING_ANSWER -> "an answer out of order";
                    default -> "an answer without a query";
                });
    }
}
