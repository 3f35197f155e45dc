package ploverdale.replication;

/**
 * A peer gateway that sent a message, in one of its incarnations.
 *
 * @param gateway its number
 * @param incarnation of its process
 */
record Peer(int gateway, long incarnation) {}
