package ploverdale.net;

import io.vertx.core.Future;
import java.net.InetSocketAddress;
import ploverdale.model.Action;

/** The peer channel on a datagram socket. */
final class DatagramPeerChannel implements PeerChannel {
    private final GossipTransport transport;
    private final InetSocketAddress listenAddress;

    DatagramPeerChannel(GossipTransport transport, InetSocketAddress listenAddress) {
        this.transport = transport;
        this.listenAddress = listenAddress;
    }

    @Override
    public boolean isOpenToPeers() {
        return true;
    }

    @Override
    public boolean hasReceivedGossip() {
        return transport.heard();
    }

    @Override
    public Future<Void> listen() {
        return transport.listen(listenAddress);
    }

    @Override
    public void sendGossip(Action.SendGossip gossip) {
        transport.tell(gossip);
    }

    @Override
    public void send(int peer, byte[] datagram) {
        transport.send(peer, datagram);
    }
}
