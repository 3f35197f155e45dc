/**
 * The sockets, timers and callbacks between one gateway and the others: {@link ploverdale.net.peer.GossipTransport} owns
 * the datagram socket, {@link ploverdale.net.peer.MembershipTransport} carries the packets of membership, quota and
 * replication, {@link ploverdale.net.peer.ReplicationCoordinator} ties client requests to the replicated session
 * positions and write outcomes. For each part that a configuration leaves off there is an implementation that does
 * nothing. Nothing here decides who is alive, who holds which quota, or whether data is fresh enough. Everything runs on
 * the event loop.
 */
package ploverdale.net.peer;
