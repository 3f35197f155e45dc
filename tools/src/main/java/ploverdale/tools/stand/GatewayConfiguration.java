package ploverdale.tools.stand;

import java.util.List;
import java.util.stream.Collectors;

/**
 * The configuration with which a gateway is started, in the format of its configuration file.
 *
 * @param index the number of the gateway among its peers, from 0
 * @param listenAddress host and port at which it accepts clients; port 0 picks a free one
 * @param peers the addresses at which it reaches each gateway, by number; its own is where it listens for datagrams
 * @param gossip whether it exchanges messages with its peers
 * @param initialList the endpoint list that it starts with, as JSON
 * @param seed of its random choices
 * @param stalenessBoundMs staleness bound of reads of the class {@code view}, in milliseconds
 * @param descriptorLimit how many file descriptors it may have open
 */
public record GatewayConfiguration(
        int index,
        String listenAddress,
        List<String> peers,
        boolean gossip,
        int discoveryPort,
        String initialList,
        long seed,
        long stalenessBoundMs,
        int descriptorLimit) {
    /** Descriptor limit that no run reaches, unless the run is about descriptors. */
    public static final int DEFAULT_DESCRIPTORS = 512;

    /** Uses {@link #DEFAULT_DESCRIPTORS} as the descriptor limit. */
    public GatewayConfiguration(
            int index,
            String listenAddress,
            List<String> peers,
            boolean gossip,
            int discoveryPort,
            String initialList,
            long seed,
            long stalenessBoundMs) {
        this(
                index,
                listenAddress,
                peers,
                gossip,
                discoveryPort,
                initialList,
                seed,
                stalenessBoundMs,
                DEFAULT_DESCRIPTORS);
    }

    /** Returns the text of the configuration file. */
    public String json() {
        String peerList = peers.stream().map(p -> '"' + p + '"').collect(Collectors.joining(","));
        return """
            {"name":"n%d","listen":"%s","discovery":"127.0.0.1:%d","seed":"%016x",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
             "peer_listen":"%s","peers":[%s],"known":%s,
             "settings":{"balancers":%d,"selfIndex":%d,"domainType":"replicas","discovery":"automatic","zones":["here"],
              "accounts":[{"name":"all","fraction":1.0,"quotaPerS":2000}],"overShareWorth":0.1,
              "profiles":[
               {"name":"view","aimMs":400,"deadlineMs":800,"effect":"repeatable","worth":2,"lateShare":0},
               {"name":"put","aimMs":400,"deadlineMs":1500,"effect":"once","worth":6,"lateShare":0.5},
               {"name":"mine","aimMs":400,"deadlineMs":900,"effect":"repeatable","worth":2,"lateShare":0}],
              "specifics":{"classRead":["lag_bound","mutate","causal"],"oldestDataMs":[%d,0,0],"positions":true,
               "positionZeroMs":0,"checks":"silent","waitMs":0,"tokens":"kept","roleListed":"static"},
              "report":{"via":"piggyback","fields":["x0","x1","util"]},
              "policyLimits":{"sendCap":6,"cancel":true,"probes":true,"retryAfter":true,"maxRetryAfterMs":1000,
               "connectTimeoutMs":250,"idleCloseMs":30000,"mayDuplicate":false,"maxStreams":1,"peerMessages":%b},
              "contract":{"answerSlackMs":50,"startCapacity":0.3,"coldMs":6000,"overloadFactor":2.5,
               "overloadForMs":1000,"stopSendingWithinMs":500}}}
            """.formatted(
                        index,
                        listenAddress,
                        discoveryPort,
                        seed,
                        descriptorLimit,
                        peers.get(index),
                        peerList,
                        initialList,
                        peers.size(),
                        index,
                        stalenessBoundMs,
                        gossip);
    }
}
