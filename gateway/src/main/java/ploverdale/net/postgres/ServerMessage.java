package ploverdale.net.postgres;

/** A message of a database server. */
public sealed interface ServerMessage {

    /** The server accepts the connection without a password. */
    record AuthenticationOk() implements ServerMessage {}

    /** A named value beside an answer. */
    record ParameterStatus(String name, String value) implements ServerMessage {}

    /** A message that may be ignored: a notice, a notification, a cancellation key. */
    record Ignorable() implements ServerMessage {}

    /** The one column of a row that follows. */
    record RowDescription(String name, int table, short number, int type, short size, int modifier, short format)
            implements ServerMessage {}

    /** The one value of a row; null for SQL's null. */
    record DataRow(byte[] bytes) implements ServerMessage {}

    /** The end of a statement that succeeded. */
    record CommandComplete(String tag) implements ServerMessage {}

    /** The end of a statement, or of the connection, that failed. */
    record ErrorResponse(String code, String text) implements ServerMessage {}

    /** The server takes the next query; idle where no transaction is open. */
    record ReadyForQuery(boolean idle) implements ServerMessage {}

    /** A message that cannot be read, or is not supported. */
    record Malformed(String what) implements ServerMessage {}
}
