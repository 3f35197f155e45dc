package ploverdale.routing;

import java.util.ArrayDeque;
import java.util.Queue;

/** The slow start rule: what a recovering server can do, and what it may get within a window. Times in tenths of a millisecond. */
final class SlowStartBudget {
    private static final long MS = 10;
    private static final double RECOVERING_SPEED = 0.8; // of the mean server's, since servers differ

    private final SlowStartDeployment deployment;
    private final long restartedAt;

    SlowStartBudget(SlowStartDeployment deployment, long restartedAt) {
        this.deployment = deployment;
        this.restartedAt = restartedAt;
    }

    /** The part of its warm capacity that the server has at this time. */
    double warmth(SimulatedServer server, long time) {
        double warmed = (time - restartedAt) / (double) (deployment.coldMs() * MS);
        return server.restarted
                ? Math.min(1, deployment.startCapacity() + (1 - deployment.startCapacity()) * Math.max(0, warmed))
                : 1;
    }

    /** The server's warm capacity, in requests per second. */
    double capacity(SimulatedServer server) {
        return server.restarts ? RECOVERING_SPEED * deployment.capacity() : deployment.capacity();
    }

    /** The most that reached the server in any window, as a part of what the rule allows then. */
    double worstLoad(SimulatedServer server) {
        long window = deployment.windowMs() * MS;
        Queue<SimulatedServer.Arrival> within = new ArrayDeque<>();
        double sum = 0;
        double worst = 0;
        for (SimulatedServer.Arrival arrival : server.arrivalsAfterRestart) {
            within.add(arrival);
            sum += arrival.work();
            while (within.peek().at() <= arrival.at() - window) {
                sum -= within.remove().work();
            }
            worst = Math.max(worst, sum / budget(capacity(server) * warmth(server, arrival.at() - window / 2)));
        }
        return worst;
    }

    private double budget(double capacity) {
        double n = deployment.multiple() * capacity * deployment.windowMs() / 1000;
        return n < 30 ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
    }

    /** What a recovering server can answer between these times, in requests of mean work. */
    double possibleAnswers(long from, long until) {
        double seconds = (until - from) / (1000.0 * MS);
        double middle = (from + until) / 2 - restartedAt;
        double warmth =
                deployment.startCapacity() + (1 - deployment.startCapacity()) * middle / (deployment.coldMs() * MS);
        return seconds * warmth * deployment.capacity() * RECOVERING_SPEED;
    }
}
