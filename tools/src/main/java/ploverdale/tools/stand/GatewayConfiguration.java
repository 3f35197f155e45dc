package ploverdale.tools.stand;

import java.util.List;
import java.util.stream.Collectors;

/**
 * What a gateway is told at its start, as the platform words it.
 *
 * @param me its number among the instances
 * @param listen where it listens; port 0: a free one
 * @param peers where it sees each instance, itself at its own place
 * @param known the list of servers that it had last
 * @param boundMs of reads
 * @param descriptors that it may hold
 */
public record GatewayConfiguration(
        int me,
        String listen,
        List<String> peers,
        boolean words,
        int discoveryPort,
        String known,
        long seed,
        long boundMs,
        int descriptors) {
    /** Enough for any day that is not about them. */
    public static final int DESCRIPTORS = 512;

    /** The same with descriptors enough. */
    public GatewayConfiguration(
            int me,
            String listen,
            List<String> peers,
            boolean words,
            int discoveryPort,
            String known,
            long seed,
            long boundMs) {
        this(me, listen, peers, words, discoveryPort, known, seed, boundMs, DESCRIPTORS);
    }

    /** The configuration file. */
    public String json() {
        String all = peers.stream().map(p -> '"' + p + '"').collect(Collectors.joining(","));
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
                        me,
                        listen,
                        discoveryPort,
                        seed,
                        descriptors,
                        peers.get(me),
                        all,
                        known,
                        peers.size(),
                        me,
                        boundMs,
                        words);
    }
}
