package ploverdale.tools.rig;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import ploverdale.log.Log;
import ploverdale.net.Gateway;
import ploverdale.net.GatewayFile;

/** One real gateway in this process, on an event loop of its own. */
final class GatewayUnderTest {
    private final Vertx vertx = Gateway.vertx();
    private final GatewayFile file;
    private int port;
    private long readyAfterMs;

    /** What it is told at its start. */
    record Told(int me, List<Integer> peerPorts, boolean words, int discoveryPort, String known, long seed, long boundMs) {
        private String json() {
            String peers = peerPorts.stream().map(p -> "\"127.0.0.1:" + p + "\"").collect(Collectors.joining(","));
            return """
                {"name":"n%d","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"%016x",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":512},
                 "peer_listen":"127.0.0.1:%d","peers":[%s],"known":%s,
                 "settings":{"balancers":%d,"selfIndex":%d,"domainType":"replicas","discovery":"automatic","zones":["here"],
                  "accounts":[{"name":"all","fraction":1.0,"quotaPerS":2000}],"overShareWorth":0.1,
                  "profiles":[
                   {"name":"view","aimMs":400,"deadlineMs":800,"effect":"repeatable","worth":2,"lateShare":0},
                   {"name":"put","aimMs":400,"deadlineMs":1500,"effect":"once","worth":6,"lateShare":0.5}],
                  "specifics":{"classRead":["lag_bound","mutate"],"oldestDataMs":[%d,0],"positions":true,
                   "positionZeroMs":0,"checks":"silent","waitMs":0,"tokens":"kept","roleListed":"static"},
                  "report":{"via":"piggyback","fields":["x0","x1","util"]},
                  "policyLimits":{"sendCap":6,"cancel":true,"probes":true,"retryAfter":true,"maxRetryAfterMs":1000,
                   "connectTimeoutMs":250,"idleCloseMs":30000,"mayDuplicate":false,"maxStreams":1,"peerMessages":%b},
                  "contract":{"answerSlackMs":50,"startCapacity":0.3,"coldMs":6000,"overloadFactor":2.5,
                   "overloadForMs":1000,"stopSendingWithinMs":500}}}
                """.formatted(me, discoveryPort, seed, peerPorts.get(me), peers, known, peerPorts.size(), me, boundMs, words);
        }
    }

    GatewayUnderTest(Told told) throws IOException {
        Path p = Files.createTempFile("gateway", ".json");
        Files.writeString(p, told.json());
        file = GatewayFile.read(p);
        Files.delete(p);
    }

    /** Starts it; done when it is ready for clients. */
    Future<GatewayUnderTest> start() {
        long began = System.nanoTime();
        Log nowhere = new Log(new PrintStream(OutputStream.nullOutputStream()));
        return Gateway.unpractised(vertx, vertx.getOrCreateContext(), nowhere, file).map(g -> {
            port = g.port();
            readyAfterMs = (System.nanoTime() - began) / 1_000_000;
            return this;
        });
    }

    long readyAfterMs() {
        return readyAfterMs;
    }

    int port() {
        return port;
    }

    /** Ends it at once, with all that it has open. */
    Future<Void> kill() {
        return vertx.close();
    }
}
