package ploverdale.tools.lab;

import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

/**
 * A discrete-event simulation of a datagram network that loses, duplicates and delays datagrams between gateways. Events
 * that are due at the same time run in the order in which they were scheduled. Times are in tenths of a millisecond.
 */
final class SimulatedNetwork {
    /** Receives each datagram that arrives. */
    interface Receiver {
        void receive(int from, int to, byte[] bytes);
    }

    private record Event(long at, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    private final RandomGenerator random;
    private final Receiver receiver;
    private final double twice;
    private final long delay;
    private final boolean[][] cut;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private double loss;
    private long now;
    private long order;

    /**
     * @param loss share of datagrams that are lost
     * @param twice share of datagrams that are duplicated
     * @param delay longest delay of a datagram
     */
    SimulatedNetwork(int instances, double loss, double twice, long delay, RandomGenerator random, Receiver receiver) {
        this.loss = loss;
        this.twice = twice;
        this.delay = delay;
        this.random = random;
        this.receiver = receiver;
        cut = new boolean[instances][instances];
    }

    long now() {
        return now;
    }

    /** Schedules an action for the given time, or for now if that time has passed. */
    void at(long time, Runnable what) {
        events.add(new Event(Math.max(now, time), order++, what));
    }

    /** Runs the simulation up to and including the given time. */
    void until(long time) {
        while (!events.isEmpty() && events.peek().at <= time) {
            Event e = events.poll();
            now = e.at;
            e.what.run();
        }
        now = time;
    }

    /** Blocks or unblocks one direction of the link between two gateways. */
    void cut(int from, int to, boolean is) {
        cut[from][to] = is;
    }

    /** Sets the share of datagrams that are lost from now on. */
    void loses(double share) {
        loss = share;
    }

    void send(int from, int to, byte[] bytes) {
        for (int copies = random.nextDouble() < twice ? 2 : 1; copies > 0; copies--) {
            if (!cut[from][to] && random.nextDouble() >= loss) {
                at(now + 1 + random.nextLong(delay), () -> receiver.receive(from, to, bytes));
            }
        }
    }
}
