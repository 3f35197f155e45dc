package ploverdale.routing;

import java.util.List;
import java.util.Map;
import ploverdale.gossip.GossipProtocol.OutboundPacket;
import ploverdale.gossip.GossipProtocol.ReceivedGossip;
import ploverdale.model.ServerId;

/** Used where the deployment does not allow gossip between gateways: sends nothing and ignores received datagrams. */
final class DisabledGossip implements PeerGossip {
    @Override
    public boolean isEnabled() {
        return false;
    }

    @Override
    public boolean isNeededForPositions() {
        return false;
    }

    @Override
    public void serverListed(ServerId server) {}

    @Override
    public void serverRemoved(ServerId server) {}

    @Override
    public void forgetPositions() {}

    @Override
    public void requestArrived() {}

    @Override
    public void positionReported(long now, ServerId server) {}

    @Override
    public void serverObserved(long now, ServerId server) {}

    @Override
    public void primaryVerified(long now, ServerId server, boolean isPrimary) {}

    @Override
    public boolean hasPending(long now) {
        return false;
    }

    @Override
    public List<OutboundPacket> due(long now) {
        return List.of();
    }

    @Override
    public List<OutboundPacket> shutdown(long now) {
        return List.of();
    }

    @Override
    public ReceivedGossip receive(long now, int peer, byte[] datagram) {
        return new ReceivedGossip(Map.of(), List.of(), null);
    }
}
