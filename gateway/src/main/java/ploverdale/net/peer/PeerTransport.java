package ploverdale.net.peer;

import io.vertx.core.Future;
import java.net.InetSocketAddress;
import ploverdale.model.Action;

/** Sends datagrams to the other gateways and receives theirs. Used on the event loop only. */
public interface PeerTransport {
    /** For a gateway without peers: sends and receives nothing. */
    PeerTransport NONE = new PeerTransport() {
        @Override
        public boolean isEnabled() {
            return false;
        }

        @Override
        public Future<Void> listen(InetSocketAddress address) {
            return Future.succeededFuture();
        }

        @Override
        public boolean hasReceivedGossip() {
            return false;
        }

        @Override
        public void sendGossip(Action.SendGossip gossip) {}

        @Override
        public void send(int peer, byte[] datagram) {}

        @Override
        public void close() {}
    };

    /** Returns whether other gateways are configured. */
    boolean isEnabled();

    /**
     * Opens the socket. The future completes when the first attempt has ended, and succeeds even if that attempt
     * failed.
     */
    Future<Void> listen(InetSocketAddress address);

    /** Returns whether gossip from any other gateway has been received. */
    boolean hasReceivedGossip();

    /**
     * Sends gossip with its sending time on the servers' wall clock; sends nothing while the offset of that clock is
     * unknown.
     */
    void sendGossip(Action.SendGossip gossip);

    /** Sends a datagram unchanged, without any guarantee of delivery. */
    void send(int peer, byte[] datagram);

    /** Closes the socket. It is not opened again. */
    void close();
}
