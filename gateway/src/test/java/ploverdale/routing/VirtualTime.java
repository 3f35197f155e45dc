package ploverdale.routing;

import java.util.PriorityQueue;

/**
 * The clock of a simulation and its scheduled actions, which run in the order of their times and then of scheduling.
 * Times are ticks.
 */
final class VirtualTime {
    private record Due(long at, long order, Runnable action) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private long order;
    private long now;

    VirtualTime(long start) {
        now = start;
    }

    long now() {
        return now;
    }

    /** Schedules an action at this time, or now if the time is past. */
    void at(long time, Runnable action) {
        due.add(new Due(Math.max(now, time), order++, action));
    }

    /** Runs all actions that are due before the end, including those that they schedule. */
    void runUntil(long end) {
        while (!due.isEmpty() && due.peek().at < end) {
            Due next = due.poll();
            now = next.at;
            next.action.run();
        }
    }
}
