package ploverdale.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import ploverdale.model.ServerId;

/**
 * A simulated database server with its queue, and a record of the work that reached it after its restart. Times are
 * ticks.
 */
final class SimulatedServer {
    /** Time constant of the average of the reported utilization. */
    private static final double UTILIZATION_TICKS = 200.0 * 10;

    /** Work that reached the server after its restart, in multiples of the mean work of a request. */
    record Arrival(long at, double work) {}

    final ServerId id;
    final int number;
    final int cores;
    private final int groupSize;
    final Queue<SimulatedAttempt> queue = new ArrayDeque<>();
    final List<SimulatedAttempt> running = new ArrayList<>();
    final List<Arrival> arrivalsAfterRestart = new ArrayList<>();
    /** Whether the server restarts in this scenario. */
    boolean restarts;

    boolean up = true;
    /** Whether the server has restarted and is up again. */
    boolean restarted;
    /** The number of restarts so far. */
    int incarnation;
    /** The reported utilization at {@link #utilizationAt}. */
    double utilization;

    long utilizationAt;
    /** Work answered since the restart. */
    double workAnsweredAfterRestart;

    SimulatedServer(int number, int cores, int groupSize, long start) {
        this.number = number;
        this.cores = cores;
        this.groupSize = groupSize;
        utilizationAt = start;
        id = new ServerId("s" + number);
    }

    boolean primary() {
        return number % groupSize == 0;
    }

    /** Updates the reported utilization to this time. */
    void updateUtilization(long now) {
        utilization += (1 - Math.exp(-(now - utilizationAt) / UTILIZATION_TICKS))
                * (running.size() / (double) cores - utilization);
        utilizationAt = now;
    }
}
