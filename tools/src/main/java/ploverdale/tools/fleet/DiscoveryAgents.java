package ploverdale.tools.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.stand.TestCluster;

/** The fake discovery agents of all gateways of a run: two for each gateway, whose settings name one of them. */
final class DiscoveryAgents {
    private static final String FIRST = "a";
    private static final String SECOND = "b";

    private final Vertx vertx;
    private final TestCluster cluster;
    private final Ledger ledger;
    private final Map<String, Map<String, DiscoveryAgent>> agents = new LinkedHashMap<>(); // by gateway, then by agent
    private final Map<String, String> followed = new HashMap<>(); // gateway to the agent that its settings name
    private final Map<String, String> firstLists = new HashMap<>();

    DiscoveryAgents(Vertx vertx, TestCluster cluster, Ledger ledger) {
        this.vertx = vertx;
        this.cluster = cluster;
        this.ledger = ledger;
        cluster.onListChange(
                () -> agents.values().forEach(ofGateway -> ofGateway.values().forEach(DiscoveryAgent::listChanged)));
    }

    /** Opens both agents of a gateway. The links from the gateway to the servers must be open by the first request. */
    Future<Void> open(String gateway) {
        followed.put(gateway, FIRST);
        agents.put(gateway, new HashMap<>());
        return open(gateway, FIRST).compose(x -> open(gateway, SECOND));
    }

    private Future<Void> open(String gateway, String name) {
        DiscoveryAgent agent = new DiscoveryAgent(vertx, cluster, ledger, gateway);
        agents.get(gateway).put(name, agent);
        return agent.open();
    }

    /** Returns the port of the agent that the gateway's settings name. */
    int port(String gateway) {
        return agent(gateway).port();
    }

    /** Returns the endpoint list of the run's beginning, with which each process of the gateway is started. */
    String firstList(String gateway) {
        return firstLists.computeIfAbsent(gateway, x -> cluster.endpointList(gateway, true));
    }

    /** Called when the gateway's settings are changed to name this agent. */
    void follow(String gateway, String name) {
        followed.put(gateway, name);
    }

    /** Called when a process of the gateway starts. What its agent knows counts as reported to the gateway. */
    void processStarts(String gateway) {
        ledger.forgetEndpointLists(gateway);
        agent(gateway).processStarts();
    }

    /**
     * Changes an agent.
     *
     * @param change delay:MS, trickle:MS or the name of a {@link DiscoveryAgent.State}
     */
    void change(String gateway, String name, String change) {
        DiscoveryAgent agent = agents.get(gateway).get(name);
        if (change.startsWith("delay:")) {
            agent.setDelay(Long.parseLong(change.substring("delay:".length())));
        } else if (change.startsWith("trickle:")) {
            agent.setPieceInterval(Long.parseLong(change.substring("trickle:".length())));
        } else {
            agent.setState(DiscoveryAgent.State.valueOf(change));
        }
    }

    private DiscoveryAgent agent(String gateway) {
        return agents.get(gateway).get(followed.get(gateway));
    }
}
