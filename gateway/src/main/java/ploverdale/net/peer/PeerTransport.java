package ploverdale.net.peer;

import io.vertx.core.Future;
import java.net.InetSocketAddress;
import ploverdale.model.Action;

/** Exchanges datagrams with the other gateways. Used on the event loop only. */
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
        public boolean hasReceived() {
            return false;
        }

        @Override
        public void sendGossip(Action.SendGossip gossip) {}

        @Override
        public void send(int peer, byte[] datagram) {}

        @Override
        public void close() {}
    };

    /** Whether there are other gateways to talk to. */
    boolean isEnabled();

    /** Opens the socket; the future always succeeds, once the first attempt is over. */
    Future<Void> listen(InetSocketAddress address);

    /** Whether gossip of any other gateway has come. */
    boolean hasReceived();

    /** Sends gossip, dated by the servers' wall clock; while that is unknown, sends nothing. */
    void sendGossip(Action.SendGossip gossip);

    /** Sends a datagram as it is; it may get lost. */
    void send(int peer, byte[] datagram);

    /** Closes the socket for good. */
    void close();
}
