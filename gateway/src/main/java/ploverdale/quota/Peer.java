package ploverdale.quota;

/**
 * A process of a gateway, as a party of leases and sub-leases.
 *
 * @param gateway number of the gateway
 * @param epoch identifies the process among the successive processes of the gateway; a later process has a higher
 *     epoch. It is the fencing token of leases: a grant to an earlier process of the same gateway is not valid for a
 *     later one, which does not know about it.
 */
record Peer(int gateway, long epoch) {}
