package ploverdale.tools.lab;

import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

/**
 * A discrete-event simulation of a datagram network that loses, duplicates and delays datagrams between gateways.
 * Events that are due at the same time run in the order in which they were scheduled. Times are in tenths of a
 * millisecond.
 */
final class SimulatedNetwork {
    /** Receives each datagram that arrives. */
    interface Receiver {
        void receive(int from, int to, byte[] bytes);
    }

    private record ScheduledAction(long at, long sequence, Runnable action) implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private final RandomGenerator random;
    private final Receiver receiver;
    private final double duplication;
    private final long maxDelay;
    private final boolean[][] blocked;
    private final PriorityQueue<ScheduledAction> events = new PriorityQueue<>();
    private double loss;
    private long now;
    private long sequence;

    /**
     * @param loss share of datagrams that are lost
     * @param duplication share of datagrams that are duplicated
     * @param maxDelay longest delay of a datagram
     */
    SimulatedNetwork(
            int gateways, double loss, double duplication, long maxDelay, RandomGenerator random, Receiver receiver) {
        this.loss = loss;
        this.duplication = duplication;
        this.maxDelay = maxDelay;
        this.random = random;
        this.receiver = receiver;
        blocked = new boolean[gateways][gateways];
    }

    long now() {
        return now;
    }

    /** Schedules an action for the given time, or for now if that time has passed. */
    void schedule(long time, Runnable action) {
        events.add(new ScheduledAction(Math.max(now, time), sequence++, action));
    }

    /** Runs the simulation up to and including the given time. */
    void runUntil(long time) {
        while (!events.isEmpty() && events.peek().at <= time) {
            ScheduledAction next = events.poll();
            now = next.at;
            next.action.run();
        }
        now = time;
    }

    /** Blocks or unblocks one direction of the link between two gateways. */
    void setBlocked(int from, int to, boolean isBlocked) {
        blocked[from][to] = isBlocked;
    }

    /** Sets the share of datagrams that are lost from now on. */
    void setLoss(double share) {
        loss = share;
    }

    void send(int from, int to, byte[] bytes) {
        for (int copies = random.nextDouble() < duplication ? 2 : 1; copies > 0; copies--) {
            if (!blocked[from][to] && random.nextDouble() >= loss) {
                schedule(now + 1 + random.nextLong(maxDelay), () -> receiver.receive(from, to, bytes));
            }
        }
    }
}
