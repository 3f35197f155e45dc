package ploverdale.net.peer;

/**
 * The coordination protocols between gateways (membership, quota and replication), whose packets share the socket with
 * gossip. Used on the event loop only.
 */
public interface PeerCoordination {
    /** For a gateway that does not coordinate with others: handles no datagram. */
    PeerCoordination NONE = new PeerCoordination() {
        @Override
        public boolean receive(int from, byte[] datagram) {
            return false;
        }

        @Override
        public void leave() {}
    };

    /**
     * Handles a datagram of another gateway if it is a packet of these protocols.
     *
     * @param from the number of the sender
     * @return false, without any effect, if the datagram is not such a packet
     */
    boolean receive(int from, byte[] datagram);

    /** Announces that this gateway is shutting down. */
    void leave();
}
