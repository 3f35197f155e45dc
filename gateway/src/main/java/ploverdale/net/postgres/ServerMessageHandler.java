package ploverdale.net.postgres;

/**
 * Handles each kind of {@link ServerMessage}. Its methods are called on the thread that owns the connection, in the
 * order in which the server sent the messages.
 */
public interface ServerMessageHandler {

    /** Called when the server accepts the connection without a password. */
    void onAuthenticationOk(ServerMessage.AuthenticationOk message);

    /** Called when the server reports the value of a setting. */
    void onParameterStatus(ServerMessage.ParameterStatus message);

    /**
     * Called for a notice, a notification or a BackendKeyData. These do not affect any query, so the default does
     * nothing.
     */
    default void onIgnorable(ServerMessage.Ignorable message) {}

    /** Called with the column of the rows that follow. */
    void onRowDescription(ServerMessage.RowDescription message);

    /** Called with the value of a row. */
    void onDataRow(ServerMessage.DataRow message);

    /** Called when the statement has succeeded. */
    void onCommandComplete(ServerMessage.CommandComplete message);

    /** Called when the statement has failed or the server refuses the connection. */
    void onErrorResponse(ServerMessage.ErrorResponse message);

    /** Called when the server accepts the next query. */
    void onReadyForQuery(ServerMessage.ReadyForQuery message);

    /**
     * Called when the received bytes are not a supported message. Nothing that follows on the connection can be
     * trusted.
     */
    void onMalformed(ServerMessage.Malformed message);
}
