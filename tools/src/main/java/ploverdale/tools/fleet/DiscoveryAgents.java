package ploverdale.tools.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.stand.TestCluster;

/** The discovery agents of all gateways of a day: two for each, of which its configuration names one. */
final class DiscoveryAgents {
    private static final String FIRST = "a";
    private static final String SECOND = "b";

    private final Vertx vertx;
    private final TestCluster cluster;
    private final Ledger ledger;
    private final Map<String, Map<String, DiscoveryAgent>> agents = new LinkedHashMap<>(); // by gateway and agent
    private final Map<String, String> followed = new HashMap<>();
    private final Map<String, String> firstLists = new HashMap<>();

    DiscoveryAgents(Vertx vertx, TestCluster cluster, Ledger ledger) {
        this.vertx = vertx;
        this.cluster = cluster;
        this.ledger = ledger;
        cluster.onListChange(() -> agents.values().forEach(own -> own.values().forEach(DiscoveryAgent::listChanged)));
    }

    /** Opens the agents of a gateway, to whom the servers' addresses are known. */
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

    /** The port of the agent that the gateway's configuration names. */
    int port(String gateway) {
        return agent(gateway).port();
    }

    /** The list of the day's beginning, with which each process of the gateway is started. */
    String firstList(String gateway) {
        return firstLists.computeIfAbsent(gateway, x -> cluster.endpointList(gateway, true));
    }

    /** The gateway's configuration names this agent from now on. */
    void follow(String gateway, String name) {
        followed.put(gateway, name);
    }

    /** A process of the gateway starts: what its agent has counts as told. */
    void processStarts(String gateway) {
        ledger.forgetsLists(gateway);
        agent(gateway).processStarts();
    }

    /** An agent behaves like this from now on. */
    void behave(String gateway, String name, String what) {
        DiscoveryAgent agent = agents.get(gateway).get(name);
        if (what.startsWith("delay:")) {
            agent.delay(Long.parseLong(what.substring("delay:".length())));
        } else if (what.startsWith("trickle:")) {
            agent.trickle(Long.parseLong(what.substring("trickle:".length())));
        } else {
            agent.state(DiscoveryAgent.State.valueOf(what));
        }
    }

    private DiscoveryAgent agent(String gateway) {
        return agents.get(gateway).get(followed.get(gateway));
    }
}
