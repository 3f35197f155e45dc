package ploverdale.tools.fleet;

import java.util.Collections;
import java.util.List;
import ploverdale.tools.fleet.GatewayProcess.Launch;
import ploverdale.tools.stand.BackgroundClients;
import ploverdale.tools.stand.GatewayConfiguration;
import ploverdale.tools.stand.ReconnectingClients;
import ploverdale.tools.stand.TestCluster;

/**
 * How the gateways of a run are started, and what load their clients put on them.
 *
 * @param launch how gateway processes are started
 * @param requestsPerSecond sent to each gateway, by the gateway's number
 * @param settleMs between the moment at which all gateways serve and the first request, with which the fault schedule begins
 * @param traffic is notified of each request that reaches a server or ends there
 * @param reconnectingClients the behaviour of additional clients that keep a session while they reconnect to other
 *     gateways, or null for none
 * @param connectionLoad the client connections and descriptors of each gateway
 * @param ownAgents whether each gateway has two discovery agents of its own, and starts with the endpoint list of the run's
 *     beginning
 * @param background create further clients
 */
public record Workload(
        Launch launch,
        List<Double> requestsPerSecond,
        long settleMs,
        TestCluster.RequestListener traffic,
        ReconnectingClients.Behavior reconnectingClients,
        ConnectionLoad connectionLoad,
        boolean ownAgents,
        List<BackgroundClients.Factory> background) {
    /** Creates a workload with the minimum of connections and without own discovery agents. */
    public Workload(
            Launch launch,
            List<Double> requestsPerSecond,
            long settleMs,
            TestCluster.RequestListener traffic,
            ReconnectingClients.Behavior reconnectingClients) {
        this(
                launch,
                requestsPerSecond,
                settleMs,
                traffic,
                reconnectingClients,
                ConnectionLoad.MINIMAL,
                false,
                List.of());
    }

    /** Creates a workload that also has no reconnecting clients. */
    public Workload(Launch launch, List<Double> requestsPerSecond, long settleMs, TestCluster.RequestListener traffic) {
        this(launch, requestsPerSecond, settleMs, traffic, null);
    }

    /** Returns this workload with another connection load. */
    public Workload with(ConnectionLoad replacement) {
        return new Workload(
                launch, requestsPerSecond, settleMs, traffic, reconnectingClients, replacement, ownAgents, background);
    }

    /** Returns this workload with two discovery agents for each gateway. */
    public Workload withOwnAgents() {
        return new Workload(
                launch, requestsPerSecond, settleMs, traffic, reconnectingClients, connectionLoad, true, background);
    }

    /** Returns this workload with other background clients. */
    public Workload withBackground(BackgroundClients.Factory... clients) {
        return new Workload(
                launch,
                requestsPerSecond,
                settleMs,
                traffic,
                reconnectingClients,
                connectionLoad,
                ownAgents,
                List.of(clients));
    }

    /** Returns a workload that sends the same rate to every gateway as soon as all gateways serve. */
    public static Workload even(Launch launch, int gateways, double requestsPerSecond) {
        return new Workload(
                launch, Collections.nCopies(gateways, requestsPerSecond), 0, (request, server, now, arrives) -> {});
    }

    /**
     * The client connections and the descriptors of a gateway.
     *
     * @param connections that the clients of a gateway open and use in turn; 0: as few as the request rate needs
     * @param descriptors the gateway's limit of descriptors
     */
    public record ConnectionLoad(int connections, int descriptors) {
        /** As few connections as the request rate needs, and more descriptors than they use. */
        public static final ConnectionLoad MINIMAL = new ConnectionLoad(0, GatewayConfiguration.DEFAULT_DESCRIPTORS);
    }
}
