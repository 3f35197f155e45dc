package ploverdale.net;

import io.vertx.core.Future;
import java.util.Optional;
import ploverdale.model.Action;
import ploverdale.net.eventloop.RouterEventLoop;

/** The datagrams between this gateway and the others. Used on the event loop only. */
interface PeerChannel {

    /** Whether there are other gateways to exchange datagrams with. */
    boolean isOpenToPeers();

    /** Whether a gossip datagram of another gateway has arrived. */
    boolean hasReceivedGossip();

    /** Completes when the socket listens, or when that has failed for the first time. */
    Future<Void> listen();

    /** Sends a gossip datagram of the router. */
    void sendGossip(Action.SendGossip gossip);

    /** Sends a datagram as it is. */
    void send(int peer, byte[] datagram);

    /** The channel to the configured peers, or one that does nothing where there are none. */
    static PeerChannel create(
            GatewayOptions options,
            RouterEventLoop loop,
            ServerClock serverClock,
            Optional<MembershipTransport> membership) {
        if (!options.hasPeers()) {
            return new NoPeerChannel();
        }
        ConfigurationFile configuration = options.configuration();
        GossipTransport transport = new GossipTransport(options.vertx(), options.log(), loop, configuration.peers());
        transport.datedBy(serverClock);
        if (membership.isPresent()) {
            transport.readFirst(membership.get()::hears);
        }
        return new DatagramPeerChannel(transport, configuration.peerListen());
    }
}
