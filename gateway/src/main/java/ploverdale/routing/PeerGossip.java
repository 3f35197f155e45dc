package ploverdale.routing;

import java.util.List;
import ploverdale.gossip.GossipProtocol.OutboundPacket;
import ploverdale.gossip.GossipProtocol.ReceivedGossip;
import ploverdale.model.ServerId;

/**
 * The router's exchange of server observations with peers. {@link EnabledGossip} runs the gossip protocol;
 * {@link DisabledGossip} does nothing and is used if gateways may not send each other datagrams.
 */
interface PeerGossip {
    /** Whether gateways may send each other datagrams. */
    boolean isEnabled();

    /**
     * Whether this gateway gets answers from the servers so rarely that it also needs the log positions that peers
     * report.
     */
    boolean isNeededForPositions();

    /** Called for each server in an endpoint update, except removed and outdated ones; it may already be known. */
    void serverListed(ServerId server);

    /** Called when the removal of a server from the endpoint list has taken effect. */
    void serverRemoved(ServerId server);

    /**
     * Discards all log positions; called when they cannot be compared with later ones, since the clock offset has
     * changed.
     */
    void forgetPositions();

    /** Called when a request has arrived. The bandwidth for gossip is limited in proportion to the requests. */
    void requestArrived();

    /** Called when a server reported its log position to this gateway. */
    void positionReported(long now, ServerId server);

    /** Called when this gateway's observation of a server may have changed. */
    void serverObserved(long now, ServerId server);

    /**
     * Called when a write has shown whether a server is the primary.
     *
     * @param isPrimary whether the server is the primary
     */
    void primaryVerified(long now, ServerId server, boolean isPrimary);

    /** Whether datagrams may have to be sent soon. */
    boolean hasPending(long now);

    /** Returns the datagrams that are due to be sent now. */
    List<OutboundPacket> due(long now);

    /** Returns the datagrams that announce this gateway's shutdown to peers. */
    List<OutboundPacket> shutdown(long now);

    /** Processes a datagram that arrived from the peer with this index. */
    ReceivedGossip receive(long now, int peer, byte[] datagram);
}
