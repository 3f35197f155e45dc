package ploverdale.net.postgres;

/** Takes each kind of {@link ClientMessage}; called by {@link ClientMessage#dispatchTo}. */
public interface ClientMessageHandler {

    /** The client starts the session. */
    void onStartup(ClientMessage.Startup startup);

    /** The client asks for an encrypted connection. */
    void onEncryptionRequest(ClientMessage.EncryptionRequest encryption);

    /** The client ends the session. */
    void onTerminate(ClientMessage.Terminate terminate);

    /** Another connection's requests are to be canceled. */
    void onCancelRequest(ClientMessage.CancelRequest cancel);

    /** A query without any statement. */
    void onEmptyQuery(ClientMessage.EmptyQuery query);

    /** A query that describes a request. */
    void onRequestQuery(ClientMessage.RequestQuery query);

    /** A message that is not supported. */
    void onUnsupportedMessage(ClientMessage.UnsupportedMessage message);

    /** The end of a run of extended messages. */
    void onSync(ClientMessage.Sync sync);

    /** A message that cannot be accepted. */
    void onInvalidQuery(ClientMessage.InvalidQuery query);
}
