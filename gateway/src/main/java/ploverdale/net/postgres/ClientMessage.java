package ploverdale.net.postgres;

/** A decoded client message. Immutable, except that the array of query bytes is shared and must not be modified. */
public sealed interface ClientMessage {

    /** Calls the handler's method for this kind of message. */
    void dispatchTo(ClientMessageHandler handler);

    /** Returns whether the client expects a response to this very message, which may be an error. */
    default boolean expectsQueryResponse() {
        return false;
    }

    /** Returns whether the connection is closed after this message. */
    default boolean closesConnection() {
        return false;
    }

    /** StartupMessage: the client opens the session. */
    record Startup() implements ClientMessage {
        @Override
        public void dispatchTo(ClientMessageHandler handler) {
            handler.onStartup(this);
        }
    }

    /** SSLRequest or GSSENCRequest: the client requests encryption before it sends its startup message. */
    record EncryptionRequest() implements ClientMessage {
        @Override
        public void dispatchTo(ClientMessageHandler handler) {
            handler.onEncryptionRequest(this);
        }
    }

    /** Terminate: the client closes the session. */
    record Terminate() implements ClientMessage {
        @Override
        public void dispatchTo(ClientMessageHandler handler) {
            handler.onTerminate(this);
        }
    }

    /**
     * Cancels the requests of another connection.
     *
     * @param processId process id from that connection's BackendKeyData
     * @param secretKey secret key from that connection's BackendKeyData
     */
    record CancelRequest(int processId, int secretKey) implements ClientMessage {
        @Override
        public void dispatchTo(ClientMessageHandler handler) {
            handler.onCancelRequest(this);
        }
    }

    /** A query string without a statement. */
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
     * A query with one statement and the comment that describes the request.
     *
     * @param id the client's id of the request
     * @param requestClass name of the request class
     * @param tenant name of the tenant; empty if the comment names none
     * @param group number of the replica group
     * @param key the first text literal of the statement, or null if it has none
     * @param timeoutMs how long the client waits for the answer, in milliseconds
     * @param resubmitted whether the client has submitted the request before
     * @param minPositionMs the position that a read must reach, in Unix milliseconds; 0 or less if there is none
     * @param text the query string as received, without the terminating zero; not copied
     * @param timeoutFrom index of the first byte of the timeout in the text
     * @param timeoutTo index after the last byte of the timeout in the text
     */
    record RequestQuery(
            String id,
            String requestClass,
            String tenant,
            long group,
            String key,
            double timeoutMs,
            boolean resubmitted,
            long minPositionMs,
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

        /** Returns the number of bytes of the text and of the strings that were decoded from it. */
        public int retainedTextBytes() {
            int keyCharacters = key == null ? 0 : key.length();
            int decoded = id.length() + requestClass.length() + tenant.length() + keyCharacters;
            return text.length + decoded * Character.BYTES;
        }
    }

    /**
     * A message of the extended query protocol, or a function call. Neither is supported.
     *
     * @param untilSync whether all further messages are skipped up to the next Sync
     */
    record UnsupportedMessage(boolean untilSync) implements ClientMessage {
        @Override
        public void dispatchTo(ClientMessageHandler handler) {
            handler.onUnsupportedMessage(this);
        }
    }

    /** Sync: ends a series of extended query messages. */
    record Sync() implements ClientMessage {
        @Override
        public void dispatchTo(ClientMessageHandler handler) {
            handler.onSync(this);
        }
    }

    /**
     * A message or query that is rejected because it is malformed, too long or not supported.
     *
     * @param code SQLSTATE of the error response
     * @param message message of the error response
     * @param closesConnection whether the connection is closed after the error response
     */
    record InvalidMessage(String code, String message, boolean closesConnection) implements ClientMessage {
        @Override
        public void dispatchTo(ClientMessageHandler handler) {
            handler.onInvalidMessage(this);
        }

        @Override
        public boolean expectsQueryResponse() {
            return !closesConnection;
        }
    }
}
