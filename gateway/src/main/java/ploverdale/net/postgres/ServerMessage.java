package ploverdale.net.postgres;

/**
 * A message of a database server. A message calls the method of a {@link ServerMessageHandler} that belongs to it, so that a new kind
 * of message does not compile until every handler has a method for it.
 */
public sealed interface ServerMessage {

    /** Calls the handler's method for this kind of message. */
    void dispatchTo(ServerMessageHandler handler);

    /** The server accepts the connection without a password. */
    record AuthenticationOk() implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onAuthenticationOk(this);
        }
    }

    /** A named value; may precede, accompany or follow the result of a query. */
    record ParameterStatus(String name, String value) implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onParameterStatus(this);
        }
    }

    /** A message that may be ignored: a notice, a notification, a cancellation key. */
    record Ignorable() implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onIgnorable(this);
        }
    }

    /** The one column of a row that follows. */
    record RowDescription(String name, int table, short number, int type, short size, int modifier, short format)
            implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onRowDescription(this);
        }
    }

    /** The one value of a row; null for SQL's null. */
    record DataRow(byte[] bytes) implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onDataRow(this);
        }
    }

    /** The end of a statement that succeeded. */
    record CommandComplete(String tag) implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onCommandComplete(this);
        }
    }

    /** The end of a statement, or of the connection, that failed. */
    record ErrorResponse(String code, String text) implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onErrorResponse(this);
        }
    }

    /** The server accepts the next query; idle where no transaction is open. */
    record ReadyForQuery(boolean idle) implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onReadyForQuery(this);
        }
    }

    /** A message that cannot be read, or is not supported. */
    record Malformed(String what) implements ServerMessage {
        @Override
        public void dispatchTo(ServerMessageHandler handler) {
            handler.onMalformed(this);
        }
    }
}
