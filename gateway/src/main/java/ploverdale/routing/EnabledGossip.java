package ploverdale.routing;

import java.util.List;
import ploverdale.gossip.GossipProtocol;
import ploverdale.gossip.GossipProtocol.OutboundPacket;
import ploverdale.gossip.GossipProtocol.ReceivedGossip;
import ploverdale.model.ServerId;

/** Exchanges server observations with the peers by the gossip protocol. */
final class EnabledGossip implements PeerGossip {
    private final GossipProtocol protocol;

    EnabledGossip(GossipProtocol protocol) {
        this.protocol = protocol;
    }

    @Override
    public boolean isEnabled() {
        return true;
    }

    @Override
    public boolean isNeededForPositions() {
        return protocol.needsPeerPositions();
    }

    @Override
    public void serverListed(ServerId server) {
        protocol.addServer(server);
    }

    @Override
    public void serverRemoved(ServerId server) {
        protocol.removeServer(server);
    }

    @Override
    public void forgetPositions() {
        protocol.forgetPositions();
    }

    @Override
    public void requestArrived() {
        protocol.onRequest();
    }

    @Override
    public void positionReported(long now, ServerId server) {
        protocol.onPositionObserved(now, server);
    }

    @Override
    public void serverObserved(long now, ServerId server) {
        protocol.onObservationChanged(now, server);
    }

    @Override
    public void primaryVerified(long now, ServerId server, boolean isPrimary) {
        protocol.onRoleVerified(now, server, isPrimary);
    }

    @Override
    public boolean hasPending(long now) {
        return protocol.hasPending(now);
    }

    @Override
    public List<OutboundPacket> due(long now) {
        return protocol.due(now);
    }

    @Override
    public List<OutboundPacket> shutdown(long now) {
        return protocol.leave(now);
    }

    @Override
    public ReceivedGossip receive(long now, int peer, byte[] datagram) {
        return protocol.onDatagram(now, peer, datagram);
    }
}
