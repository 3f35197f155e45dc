package ploverdale.membership;

import java.util.List;

/** A message of the SWIM protocol. {@link MembershipCodec} gives each its bytes. */
sealed interface MembershipMessage {
    /** Passes this message to the method of the handler that is for its kind. */
    void dispatch(Delivery delivery, Handler handler);

    /**
     * The circumstances of an arrival.
     *
     * @param now in tenths of a millisecond, of a monotonic clock
     * @param from the member that has sent the message
     * @param out takes the messages that the handler sends
     */
    record Delivery(long now, int from, PacketQueue out) {}

    /** A probe, which asks the receiver for an {@link Ack}. */
    record Ping(int sequence) implements MembershipMessage {
        @Override
        public void dispatch(Delivery delivery, Handler handler) {
            handler.onPing(delivery, this);
        }
    }

    /** The answer to a {@link Ping} or {@link PingRequest}, with the sequence number of that message. */
    record Ack(int sequence) implements MembershipMessage {
        @Override
        public void dispatch(Delivery delivery, Handler handler) {
            handler.onAck(delivery, this);
        }
    }

    /** SWIM's ping-req: asks the receiver to ping the target and to relay its ack under this sequence number. */
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

    /** Receives each kind of message. */
    interface Handler {
        /** Another member probes this one. */
        void onPing(Delivery delivery, Ping ping);

        /** A ping that this member has sent is answered. */
        void onAck(Delivery delivery, Ack ack);

        /** Another member asks for an indirect probe. */
        void onPingRequest(Delivery delivery, PingRequest request);

        /** Another member passes on what it believes. */
        void onUpdates(Delivery delivery, Updates updates);
    }
}
