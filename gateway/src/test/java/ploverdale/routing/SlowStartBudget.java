package ploverdale.routing;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Computes the capacity of a recovering server and the load that it may get within an overload window. Times are
 * {@link ploverdale.model.Ticks}.
 */
final class SlowStartBudget {
    private static final long MS = 10;
    /** Capacity of a recovering server as a fraction of other servers' capacity, since servers differ. */
    private static final double RECOVERING_SPEED = 0.8;

    private final SlowStartDeployment deployment;
    private final long restartedAt;

    SlowStartBudget(SlowStartDeployment deployment, long restartedAt) {
        this.deployment = deployment;
        this.restartedAt = restartedAt;
    }

    /** Returns the fraction of its full capacity that the server has at this time. */
    double warmth(SimulatedServer server, long time) {
        double warmed = (time - restartedAt) / (double) (deployment.coldMs() * MS);
        return server.restarted
                ? Math.min(1, deployment.startCapacity() + (1 - deployment.startCapacity()) * Math.max(0, warmed))
                : 1;
    }

    /** Returns the server's full capacity, in requests per second. */
    double capacity(SimulatedServer server) {
        return server.restarts ? RECOVERING_SPEED * deployment.capacity() : deployment.capacity();
    }

    /**
     * Returns the maximum load that reached the server in any window, as a fraction of the load allowed in that window.
     */
    double worstLoad(SimulatedServer server) {
        long window = deployment.windowMs() * MS;
        Queue<SimulatedServer.Arrival> within = new ArrayDeque<>();
        double sum = 0;
        double worst = 0;
        for (SimulatedServer.Arrival arrival : server.coldArrivals) {
            within.add(arrival);
            sum += arrival.work();
            while (within.peek().at() <= arrival.at() - window) {
                sum -= within.remove().work();
            }
            worst = Math.max(worst, sum / budget(capacity(server) * warmth(server, arrival.at() - window / 2)));
        }
        return worst;
    }

    /** Returns the load allowed in a window, in requests: the budget and an allowance for random variation. */
    private double budget(double capacity) {
        double n = deployment.multiple() * capacity * deployment.windowMs() / 1000;
        return n < 30 ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
    }

    /** Returns how much a recovering server can answer between these times, in requests of mean work. */
    double possibleAnswers(long from, long until) {
        double seconds = (until - from) / (1000.0 * MS);
        double middle = (from + until) / 2 - restartedAt;
        double warmth =
                deployment.startCapacity() + (1 - deployment.startCapacity()) * middle / (deployment.coldMs() * MS);
        return seconds * warmth * deployment.capacity() * RECOVERING_SPEED;
    }
}
