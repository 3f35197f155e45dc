package ploverdale.net.client;

import ploverdale.net.postgres.ClientMessage;
import ploverdale.net.postgres.ClientMessageHandler;

/** A place in a session's queue of input: a message, or the rejection of a request that was in that place. */
sealed interface QueuedInput {
    /** Bytes of memory that a queued message is counted with beside its text. */
    int OVERHEAD_BYTES = 64;

    /** Takes the kinds of input. */
    interface Handler extends ClientMessageHandler {
        /** A request is to be rejected. */
        void onRejectedRequest(RequestRejection rejection);
    }

    /** Bytes of memory that this input is counted with. */
    int bytes();

    /** The rejection that takes the place of this input if it is a request, else this input itself. */
    QueuedInput rejectedIfRequest(RequestRejection rejection);

    /** Calls the method of the handler that takes this kind of input. */
    void dispatchTo(Handler handler);

    /** A message as it was read. */
    record Message(ClientMessage message) implements QueuedInput {
        @Override
        public int bytes() {
            int textBytes = message instanceof ClientMessage.RequestQuery query ? query.text().length : 0;
            return OVERHEAD_BYTES + textBytes;
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

    /** Takes the place of a request, whose text is no longer needed. */
    record RejectedRequest(RequestRejection rejection) implements QueuedInput {
        @Override
        public int bytes() {
            return OVERHEAD_BYTES;
        }

        @Override
        public QueuedInput rejectedIfRequest(RequestRejection another) {
            return this;
        }

        @Override
        public void dispatchTo(Handler handler) {
            handler.onRejectedRequest(rejection);
        }
    }
}
