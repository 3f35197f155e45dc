package ploverdale.net.client;

import ploverdale.net.postgres.ClientMessage;
import ploverdale.net.postgres.ClientMessageHandler;

/** An element of a session's input queue: a message, or the rejection that has replaced a queued request. */
sealed interface QueuedInput {
    /** Number of bytes that count for a message towards the length of its client's queue, in addition to its text. */
    int OVERHEAD_BYTES = 64;

    /** Number of bytes that a decoded message takes from the memory budget, in addition to its text and its key. */
    int DECODED_BYTES = 512;

    /** Handles each kind of input. */
    interface Handler extends ClientMessageHandler {
        /** Called for a request that must be answered with a rejection. */
        void onRejectedRequest(RequestRejection rejection);
    }

    /** Returns the number of bytes that count for this input towards the length of its client's queue. */
    int bytes();

    /** Returns the number of bytes that this input takes from the memory budget. */
    int retainedBytes();

    /** Returns the rejection that replaces this input if it is a request, otherwise this input itself. */
    QueuedInput rejectedIfRequest(RequestRejection rejection);

    /** Calls the handler's method for this kind of input. */
    void dispatchTo(Handler handler);

    /** A message as received. */
    record Message(ClientMessage message) implements QueuedInput {
        @Override
        public int bytes() {
            int textBytes = message instanceof ClientMessage.RequestQuery query ? query.text().length : 0;
            return OVERHEAD_BYTES + textBytes;
        }

        @Override
        public int retainedBytes() {
            return message instanceof ClientMessage.RequestQuery query
                    ? DECODED_BYTES + query.retainedTextBytes()
                    : OVERHEAD_BYTES;
        }

        @Override
        public QueuedInput rejectedIfRequest(RequestRejection rejection) {
            return message instanceof ClientMessage.RequestQuery ? new RejectedRequest(rejection) : this;
        }

        @Override
        public void dispatchTo(Handler handler) {
            message.dispatchTo(handler);
        }
    }

    /** Replaces a request, whose text is no longer needed. */
    record RejectedRequest(RequestRejection rejection) implements QueuedInput {
        @Override
        public int bytes() {
            return OVERHEAD_BYTES;
        }

        @Override
        public int retainedBytes() {
            return OVERHEAD_BYTES;
        }

        @Override
        public QueuedInput rejectedIfRequest(RequestRejection otherRejection) {
            return this;
        }

        @Override
        public void dispatchTo(Handler handler) {
            handler.onRejectedRequest(rejection);
        }
    }
}
