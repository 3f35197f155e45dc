package ploverdale.routing;

import java.util.List;
import ploverdale.gossip.GossipProtocol;
import ploverdale.gossip.GossipProtocol.OutboundPacket;
import ploverdale.gossip.GossipProtocol.ReceivedGossip;
import ploverdale.model.ServerId;

/** Gateways talk by the gossip protocol. */
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
        return protocol.needsOthers();
    }

    @Override
    public void serverListed(ServerId server) {
        protocol.listed(server);
    }

    @Override
    public void serverRemoved(ServerId server) {
        protocol.forget(server);
    }

    @Override
    public void forgetPositions() {
        protocol.forgetPositions();
    }

    @Override
    public void requestArrived() {
        protocol.request();
    }

    @Override
    public void positionReported(long now, ServerId server) {
        protocol.placed(now, server);
    }

    @Override
    public void serverObserved(long now, ServerId server) {
        protocol.learnt(now, server);
    }

    @Override
    public void primaryVerified(long now, ServerId server, boolean right) {
        protocol.proved(now, server, right);
    }

    @Override
    public boolean hasPending(long now) {
        return protocol.wantsToTell(now);
    }

    @Override
    public List<OutboundPacket> due(long now) {
        return protocol.due(now);
    }

    @Override
    public List<OutboundPacket> shutdown(long now) {
        return protocol.leaves(now);
    }

    @Override
    public ReceivedGossip receive(long now, int peer, byte[] datagram) {
        return protocol.hears(now, peer, datagram);
    }
}
