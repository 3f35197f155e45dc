package ploverdale.routing;

import java.util.List;
import ploverdale.gossip.GossipProtocol.OutboundPacket;
import ploverdale.gossip.GossipProtocol.ReceivedGossip;
import ploverdale.model.ServerId;

/** What the router exchanges with other gateways about servers; {@link DisabledGossip} where they may not talk. */
interface PeerGossip {
    /** Whether gateways may talk at all. */
    boolean isEnabled();

    /** Whether own answers come so seldom that the positions which others report are needed between them. */
    boolean isNeededForPositions();

    /** The endpoint list names this server. */
    void serverListed(ServerId server);

    /** The endpoint list no longer names this server. */
    void serverRemoved(ServerId server);

    /** Positions so far cannot be compared with later ones. */
    void forgetPositions();

    /** A request has arrived, which pays for gossip. */
    void requestArrived();

    /** The server reported its position to this gateway. */
    void positionReported(long now, ServerId server);

    /** What this gateway knows of the server may have changed. */
    void serverObserved(long now, ServerId server);

    /** Whether others were right about the primary has turned out at the server itself. */
    void primaryVerified(long now, ServerId server, boolean right);

    /** Whether something waits to be sent. */
    boolean hasPending(long now);

    /** What is to be sent by now. */
    List<OutboundPacket> due(long now);

    /** What is to be sent as this gateway shuts down. */
    List<OutboundPacket> shutdown(long now);

    /** Takes a datagram of another gateway. */
    ReceivedGossip receive(long now, int peer, byte[] datagram);
}
