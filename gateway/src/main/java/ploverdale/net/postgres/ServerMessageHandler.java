package ploverdale.net.postgres;

/**
 * Receives the messages of a database server, one method for each kind of {@link ServerMessage}. Called on the thread that owns the
 * connection, in the order in which the server sent them.
 */
public interface ServerMessageHandler {

    /** The server accepts the connection without a password. */
    void onAuthenticationOk(ServerMessage.AuthenticationOk message);

    /** The server reports a named value. */
    void onParameterStatus(ServerMessage.ParameterStatus message);

    /** A notice, a notification or a cancellation key; has no effect on any query, so that a handler may leave it out. */
    default void onIgnorable(ServerMessage.Ignorable message) {}

    /** A row with this column follows. */
    void onRowDescription(ServerMessage.RowDescription message);

    /** The one value of the row. */
    void onDataRow(ServerMessage.DataRow message);

    /** The statement succeeded. */
    void onCommandComplete(ServerMessage.CommandComplete message);

    /** The statement failed, or the server refuses the connection. */
    void onErrorResponse(ServerMessage.ErrorResponse message);

    /** The server accepts the next query. */
    void onReadyForQuery(ServerMessage.ReadyForQuery message);

    /** The bytes received are no message, or none that is supported. Nothing that follows it can be trusted. */
    void onMalformed(ServerMessage.Malformed message);
}
