/**
 * Sockets, timers and callbacks for the traffic between this gateway and its peers.
 * {@link ploverdale.net.peer.GossipTransport} owns the datagram socket, {@link ploverdale.net.peer.MembershipTransport}
 * carries the packets of membership, quota and replication, and {@link ploverdale.net.peer.ReplicationCoordinator}
 * connects client requests with the replicated session positions and write outcomes. Each part that the settings
 * disable is replaced by an implementation that does nothing. This package does not decide which members are alive,
 * which gateway holds which quota, or whether data is fresh enough. Everything runs on the event loop.
 */
package ploverdale.net.peer;
