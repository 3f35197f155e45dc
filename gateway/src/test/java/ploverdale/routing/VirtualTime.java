package ploverdale.routing;

import java.util.PriorityQueue;

/**
 * The clock of a simulation and its scheduled actions, which run in the order of their times and then of scheduling.
 * Times are ticks.
 */
final class VirtualTime {
    private record ScheduledAction(long at, long order, Runnable action) implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>();
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
        scheduled.add(new ScheduledAction(Math.max(now, time), order++, action));
    }

    /** Runs all actions that are due before the end, including those that they schedule. */
    void runUntil(long end) {
        while (!scheduled.isEmpty() && scheduled.peek().at < end) {
            ScheduledAction next = scheduled.poll();
            now = next.at;
            next.action.run();
        }
    }
}
