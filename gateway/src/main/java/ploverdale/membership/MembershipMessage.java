package ploverdale.membership;

import java.util.List;

/** A message of the SWIM protocol. {@link MembershipCodec} encodes and decodes it. */
sealed interface MembershipMessage {
    /** Calls the handler's method for this kind of message. */
    void dispatch(Delivery delivery, Handler handler);

    /**
     * When and from which member a message was received, and the queue for the response.
     *
     * @param now the time of receipt, in tenths of a millisecond of a monotonic clock
     * @param from the number of the member that sent the message
     * @param out the queue for the messages that the handler sends
     */
    record Delivery(long now, int from, PacketQueue out) {}

    /** A probe that requests an {@link Ack} from the receiver. */
    record Ping(int sequence) implements MembershipMessage {
        @Override
        public void dispatch(Delivery delivery, Handler handler) {
            handler.onPing(delivery, this);
        }
    }

    /** The response to a {@link Ping} or {@link PingRequest}; repeats its sequence number. */
    record Ack(int sequence) implements MembershipMessage {
        @Override
        public void dispatch(Delivery delivery, Handler handler) {
            handler.onAck(delivery, this);
        }
    }

    /** SWIM's ping-req: requests that the receiver ping the target and relay its ack with this sequence number. */
    record PingRequest(int sequence, int target) implements MembershipMessage {
        @Override
        public void dispatch(Delivery delivery, Handler handler) {
            handler.onPingRequest(delivery, this);
        }
    }

    /** Piggybacked updates, at most {@link MembershipCodec#MAX_UPDATES}. */
    record Updates(List<MemberUpdate> updates) implements MembershipMessage {
        @Override
        public void dispatch(Delivery delivery, Handler handler) {
            handler.onUpdates(delivery, this);
        }
    }

    /** Handles each kind of message. */
    interface Handler {
        /** Called when another member probes this one. */
        void onPing(Delivery delivery, Ping ping);

        /** Called when a ping of this member was answered. */
        void onAck(Delivery delivery, Ack ack);

        /** Called when another member requests an indirect probe. */
        void onPingRequest(Delivery delivery, PingRequest request);

        /** Called when another member sends updates. */
        void onUpdates(Delivery delivery, Updates updates);
    }
}
