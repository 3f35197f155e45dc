package ploverdale.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import ploverdale.model.ServerId;

/** A simulated database server with its queue, and what reached it while it was warming up. Times in tenths of a millisecond. */
final class SimulatedServer {
    private static final double UTILIZATION_TICKS = 200.0 * 10; // over which the reported utilization is averaged

    /** Work that reached the server while it was warming up. */
    record Arrival(long at, double work) {}

    final ServerId id;
    final int number;
    final int cores;
    private final int groupSize;
    final Queue<SimulatedAttempt> queue = new ArrayDeque<>();
    final List<SimulatedAttempt> running = new ArrayList<>();
    final List<Arrival> coldArrivals = new ArrayList<>();
    boolean restarts;
    boolean up = true;
    boolean restarted;
    int incarnation;
    double busy;
    long busyAt;
    double coldAnswers;

    SimulatedServer(int number, int cores, int groupSize, long start) {
        this.number = number;
        this.cores = cores;
        this.groupSize = groupSize;
        busyAt = start;
        id = new ServerId("s" + number);
    }

    boolean primary() {
        return number % groupSize == 0;
    }

    /** Brings the utilization that the server reports up to this time. */
    void updateBusy(long now) {
        busy += (1 - Math.exp(-(now - busyAt) / UTILIZATION_TICKS)) * (running.size() / (double) cores - busy);
        busyAt = now;
    }
}
