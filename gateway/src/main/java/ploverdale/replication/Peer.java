package ploverdale.replication;

/**
 * The gateway that sent a message.
 *
 * @param gateway its number
 * @param incarnation of its process
 */
record Peer(int gateway, long incarnation) {}
