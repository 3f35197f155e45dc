package ploverdale.quota;

/**
 * Another gateway, as leases and sub-leases name it.
 *
 * @param gateway its number
 * @param epoch which start of that gateway's process this is; higher is later. It is the fencing token of leases: what was
 *     granted to an earlier process of the same number is not valid for a later one, which does not know of it.
 */
record Peer(int gateway, long epoch) {}
