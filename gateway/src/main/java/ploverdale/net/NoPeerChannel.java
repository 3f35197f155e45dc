package ploverdale.net;

import io.vertx.core.Future;
import ploverdale.model.Action;

/** The peer channel of a gateway without peers; does nothing. */
final class NoPeerChannel implements PeerChannel {
    @Override
    public boolean isOpenToPeers() {
        return false;
    }

    @Override
    public boolean hasReceivedGossip() {
        return false;
    }

    @Override
    public Future<Void> listen() {
        return Future.succeededFuture();
    }

    @Override
    public void sendGossip(Action.SendGossip gossip) {
        // no gateway to send it to
    }

    @Override
    public void send(int peer, byte[] datagram) {
        // no gateway to send it to
    }
}
