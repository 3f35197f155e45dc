package ploverdale.routing;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Computes the capacity of a recovering server and the load that it may get within an overload window. Times are
 * {@link ploverdale.model.Ticks}.
 */
final class SlowStartBudget {
    private static final long TICKS_PER_MS = 10;
    /** Capacity of a recovering server as a fraction of other servers' capacity, since servers differ. */
    private static final double RECOVERING_CAPACITY_SHARE = 0.8;

    private final SlowStartDeployment deployment;
    private final long restartedAt;

    SlowStartBudget(SlowStartDeployment deployment, long restartedAt) {
        this.deployment = deployment;
        this.restartedAt = restartedAt;
    }

    /** Returns the fraction of its full capacity that the server has at this time. */
    double capacityFraction(SimulatedServer server, long time) {
        double elapsedFraction = (time - restartedAt) / (double) (deployment.slowStartMs() * TICKS_PER_MS);
        return server.restarted
                ? Math.min(1, deployment.startCapacity() + (1 - deployment.startCapacity()) * Math.max(0, elapsedFraction))
                : 1;
    }

    /** Returns the server's full capacity, in requests per second. */
    double capacity(SimulatedServer server) {
        return server.restarts ? RECOVERING_CAPACITY_SHARE * deployment.capacity() : deployment.capacity();
    }

    /**
     * Returns the maximum load that reached the server in any window, as a fraction of the load allowed in that window.
     */
    double maxLoad(SimulatedServer server) {
        long window = deployment.overloadWindowMs() * TICKS_PER_MS;
        Queue<SimulatedServer.Arrival> arrivalsInWindow = new ArrayDeque<>();
        double load = 0;
        double maxShare = 0;
        for (SimulatedServer.Arrival arrival : server.arrivalsAfterRestart) {
            arrivalsInWindow.add(arrival);
            load += arrival.work();
            while (arrivalsInWindow.peek().at() <= arrival.at() - window) {
                load -= arrivalsInWindow.remove().work();
            }
            maxShare = Math.max(maxShare, load / allowedLoad(capacity(server) * capacityFraction(server, arrival.at() - window / 2)));
        }
        return maxShare;
    }

    /** Returns the load allowed in a window, in requests: the budget and an allowance for random variation. */
    private double allowedLoad(double capacity) {
        double requests = deployment.overloadMultiple() * capacity * deployment.overloadWindowMs() / 1000;
        return requests < 30
                ? requests + 3 * Math.sqrt(requests) + 3
                : requests + 2 * Math.sqrt(requests) + 2;
    }

    /** Returns how much a recovering server can answer between these times, in requests of mean work. */
    double possibleAnswers(long from, long until) {
        double seconds = (until - from) / (1000.0 * TICKS_PER_MS);
        double midpoint = (from + until) / 2 - restartedAt;
        double capacityFraction =
                deployment.startCapacity() + (1 - deployment.startCapacity()) * midpoint / (deployment.slowStartMs() * TICKS_PER_MS);
        return seconds * capacityFraction * deployment.capacity() * RECOVERING_CAPACITY_SHARE;
    }
}
