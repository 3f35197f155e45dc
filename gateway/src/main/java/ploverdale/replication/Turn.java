package ploverdale.replication;

import ploverdale.membership.PacketQueue;

/**
 * One turn of the event loop: the times at which it runs, and where its messages go.
 *
 * @param now in tenths of a millisecond of a monotonic clock
 * @param unixTime in tenths of a millisecond
 */
record Turn(long now, long unixTime, PacketQueue queue) {
    /** Queues a message for another gateway. */
    void send(int gateway, ReplicationMessage message) {
        queue.add(gateway, ReplicationMessageEncoder.encode(message));
    }

    /** The share of the budget of bytes that is left, between 0 and 1. */
    double budgetLeft() {
        return queue.budgetFraction(now);
    }
}
