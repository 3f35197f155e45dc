package ploverdale.net.postgres;

/** A message of a client, as the reader decoded it. Immutable, but for the bytes of a query's text, which nobody changes. */
public sealed interface ClientMessage {

    /** Calls the method of the handler that takes this kind of message. */
    void dispatchTo(ClientMessageHandler handler);

    /** Whether the client waits for a response to this query by itself, even if that is an error. */
    default boolean expectsQueryResponse() {
        return false;
    }

    /** Whether the connection ends with this message. */
    default boolean endsConnection() {
        return false;
    }

    /** The startup message. */
    record Startup() implements ClientMessage {
        @Override
        public void dispatchTo(ClientMessageHandler handler) {
            handler.onStartup(this);
        }
    }

    /** SSLRequest or GSSENCRequest. */
    record EncryptionRequest() implements ClientMessage {
        @Override
        public void dispatchTo(ClientMessageHandler handler) {
            handler.onEncryptionRequest(this);
        }
    }

    /** Terminate. */
    record Terminate() implements ClientMessage {
        @Override
        public void dispatchTo(ClientMessageHandler handler) {
            handler.onTerminate(this);
        }
    }

    /** Cancels the requests of the connection whose BackendKeyData holds these two numbers. */
    record CancelRequest(int process, int secret) implements ClientMessage {
        @Override
        public void dispatchTo(ClientMessageHandler handler) {
            handler.onCancelRequest(this);
        }
    }

    /** A query without any statement. */
    record EmptyQuery() implements ClientMessage {
        @Override
        public void dispatchTo(ClientMessageHandler handler) {
            handler.onEmptyQuery(this);
        }

        @Override
        public boolean expectsQueryResponse() {
            return true;
        }
    }

    /**
     * A query with a statement and the comment that describes its request.
     *
     * @param id names this attempt of the client's
     * @param requestClass name of the request's class
     * @param tenant name of the tenant, or empty
     * @param group number of the replica group
     * @param key the first quoted value of the statement, or null
     * @param timeoutMs for how long the client waits, in milliseconds
     * @param again whether the client retries
     * @param afterMs position that a read must reach, as Unix milliseconds; 0 or less: none
     * @param text the statement as it came
     * @param timeoutFrom index in the text at which the digits of the timeout begin
     * @param timeoutTo index behind them
     */
    record RequestQuery(
            String id,
            String requestClass,
            String tenant,
            long group,
            String key,
            double timeoutMs,
            boolean again,
            long afterMs,
            byte[] text,
            int timeoutFrom,
            int timeoutTo)
            implements ClientMessage {
        @Override
        public void dispatchTo(ClientMessageHandler handler) {
            handler.onRequestQuery(this);
        }

        @Override
        public boolean expectsQueryResponse() {
            return true;
        }
    }

    /**
     * A message of the extended protocol, or a function call, which are not supported.
     *
     * @param untilSync whether further messages are skipped up to the next Sync
     */
    record UnsupportedMessage(boolean untilSync) implements ClientMessage {
        @Override
        public void dispatchTo(ClientMessageHandler handler) {
            handler.onUnsupportedMessage(this);
        }
    }

    /** The end of a run of extended messages. */
    record Sync() implements ClientMessage {
        @Override
        public void dispatchTo(ClientMessageHandler handler) {
            handler.onSync(this);
        }
    }

    /**
     * Something that cannot be accepted.
     *
     * @param code SQLSTATE of the answer
     * @param text message of the answer
     * @param endsConnection whether the connection ends with it
     */
    record InvalidQuery(String code, String text, boolean endsConnection) implements ClientMessage {
        @Override
        public void dispatchTo(ClientMessageHandler handler) {
            handler.onInvalidQuery(this);
        }

        @Override
        public boolean expectsQueryResponse() {
            return !endsConnection;
        }
    }
}
