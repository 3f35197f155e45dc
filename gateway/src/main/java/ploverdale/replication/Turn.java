package ploverdale.replication;

import ploverdale.membership.PacketQueue;

/**
 * The context of one turn of the event loop: the current times, and the queue for outgoing messages.
 *
 * @param now in tenths of a millisecond of a monotonic clock
 * @param unixTime in tenths of a millisecond
 * @param queue takes messages to other gateways
 */
record Turn(long now, long unixTime, PacketQueue queue) {
    void send(int gateway, ReplicationMessage message) {
        queue.add(gateway, ReplicationMessageEncoder.encode(message));
    }

    /** Returns the share of the byte budget that is still available, between 0 and 1. */
    double budgetLeft() {
        return queue.budgetFraction(now);
    }
}
