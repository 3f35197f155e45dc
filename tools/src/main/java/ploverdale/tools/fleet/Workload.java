package ploverdale.tools.fleet;

import java.util.Collections;
import java.util.List;
import ploverdale.tools.fleet.GatewayProcess.Launch;
import ploverdale.tools.stand.GatewayConfiguration;
import ploverdale.tools.stand.ReconnectingClients;
import ploverdale.tools.stand.TestCluster;

/**
 * What gateways are started with on a day, and what their clients ask of them.
 *
 * @param requestsPerSecond asked of each gateway, by number
 * @param settlesMs between the moment at which all serve and the first op; the day begins with the first op
 * @param roams how clients with sessions ask beside those, or null
 * @param crowd of client connections at each gateway
 * @param ownAgents whether each gateway has two discovery agents of its own, and starts with the list of the day's beginning
 */
public record Workload(
        Launch launch,
        List<Double> requestsPerSecond,
        long settlesMs,
        TestCluster.RequestListener traffic,
        ReconnectingClients.Behavior roams,
        Crowd crowd,
        boolean ownAgents) {
    /** The same with as few connections as serve. */
    public Workload(
            Launch launch,
            List<Double> requestsPerSecond,
            long settlesMs,
            TestCluster.RequestListener traffic,
            ReconnectingClients.Behavior roams) {
        this(launch, requestsPerSecond, settlesMs, traffic, roams, Crowd.NONE, false);
    }

    /** The same without clients that roam. */
    public Workload(
            Launch launch, List<Double> requestsPerSecond, long settlesMs, TestCluster.RequestListener traffic) {
        this(launch, requestsPerSecond, settlesMs, traffic, null);
    }

    /** The same with this crowd. */
    public Workload with(Crowd others) {
        return new Workload(launch, requestsPerSecond, settlesMs, traffic, roams, others, ownAgents);
    }

    /** The same with two discovery agents for each gateway. */
    public Workload withOwnAgents() {
        return new Workload(launch, requestsPerSecond, settlesMs, traffic, roams, crowd, true);
    }

    /** All gateways are asked as much, from the beginning. */
    public static Workload even(Launch launch, int gateways, double requestsPerSecond) {
        return new Workload(
                launch, Collections.nCopies(gateways, requestsPerSecond), 0, (request, server, now, comes) -> {});
    }

    /**
     * How many connections clients hold at a gateway, and its descriptors.
     *
     * @param connections that its clients open and use in turn; 0: as few as serve
     */
    public record Crowd(int connections, int descriptors) {
        /** As few as serve, and descriptors enough. */
        public static final Crowd NONE = new Crowd(0, GatewayConfiguration.DEFAULT_DESCRIPTORS);
    }
}
