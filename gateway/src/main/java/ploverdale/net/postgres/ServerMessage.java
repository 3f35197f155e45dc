package ploverdale.net.postgres;

/**
 * A decoded message of a database server. Messages dispatch themselves to a {@link ServerMessageHandler}, so a new kind
 * of message does not compile until every handler has a method for it.
 */
public sealed interface ServerMessage {

    /** Calls the handler's method for this kind of message. */
    void dispatchTo(ServerMessageHandler handler);

    /** AuthenticationOk: the server accepts the connection without a password. */
    record AuthenticationOk() implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onAuthenticationOk(this);
        }
    }

    /**
     * ParameterStatus: the current value of a server setting. May be sent at any time, also within the result of a
     * query.
     */
    record ParameterStatus(String name, String value) implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onParameterStatus(this);
        }
    }

    /** A message that may be ignored: a notice, a notification or a BackendKeyData. */
    record Ignorable() implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onIgnorable(this);
        }
    }

    /**
     * RowDescription of the only column of the rows that follow; the components are its fields in the order of the
     * protocol.
     */
    record RowDescription(
            String name, int tableOid, short columnNumber, int typeOid, short typeSize, int typeModifier, short format)
            implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onRowDescription(this);
        }
    }

    /**
     * DataRow with the only value of a row.
     *
     * @param bytes the value; null for SQL NULL
     */
    record DataRow(byte[] bytes) implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onDataRow(this);
        }
    }

    /** CommandComplete: the statement has succeeded. */
    record CommandComplete(String tag) implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onCommandComplete(this);
        }
    }

    /**
     * ErrorResponse: the statement has failed, or the server refuses the connection.
     *
     * @param code SQLSTATE; empty if the server sent none
     * @param message the message; empty if the server sent none
     */
    record ErrorResponse(String code, String message) implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onErrorResponse(this);
        }
    }

    /**
     * ReadyForQuery: the server accepts the next query.
     *
     * @param idle whether no transaction is open
     */
    record ReadyForQuery(boolean idle) implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onReadyForQuery(this);
        }
    }

    /**
     * A message that cannot be decoded or is not supported.
     *
     * @param description what is wrong with the message
     */
    record Malformed(String description) implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onMalformed(this);
        }
    }
}
