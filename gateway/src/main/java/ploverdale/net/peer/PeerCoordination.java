package ploverdale.net.peer;

/** What gateways agree on by packets of their own, beside gossip. Used on the event loop only. */
public interface PeerCoordination {
    /** For a gateway that shares nothing with others. */
    PeerCoordination NONE = new PeerCoordination() {
        @Override
        public boolean receive(int from, byte[] datagram) {
            return false;
        }

        @Override
        public void leave() {}
    };

    /**
     * Reads a datagram of another gateway.
     *
     * @param from the sender's number
     * @return false where it is none of these packets, and nothing was done
     */
    boolean receive(int from, byte[] datagram);

    /** Announces that this gateway is shutting down. */
    void leave();
}
