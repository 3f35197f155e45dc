package ploverdale.net.postgres;

/** Handles each kind of {@link ClientMessage}. Its methods are called by {@link ClientMessage#dispatchTo}. */
public interface ClientMessageHandler {

    /** Called when the client opens the session. */
    void onStartup(ClientMessage.Startup startup);

    /** Called when the client requests an encrypted connection. */
    void onEncryptionRequest(ClientMessage.EncryptionRequest encryption);

    /** Called when the client closes the session. */
    void onTerminate(ClientMessage.Terminate terminate);

    /** Called when the client requests that the requests of another connection be cancelled. */
    void onCancelRequest(ClientMessage.CancelRequest cancel);

    /** Called for a query string without a statement. */
    void onEmptyQuery(ClientMessage.EmptyQuery query);

    /** Called for a query that describes a request. */
    void onRequestQuery(ClientMessage.RequestQuery query);

    /** Called for a message that is not supported. */
    void onUnsupportedMessage(ClientMessage.UnsupportedMessage message);

    /** Called at the end of a series of extended query messages. */
    void onSync(ClientMessage.Sync sync);

    /** Called for a message or query that is rejected. */
    void onInvalidMessage(ClientMessage.InvalidMessage message);
}
