package ploverdale.dev;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import ploverdale.log.Log;
import ploverdale.model.RequestClass;
import ploverdale.net.Gateway;
import ploverdale.settings.ConfigurationFile;
import ploverdale.settings.EndpointList;

/**
 * Runs a gateway between stand-in servers and a stand-in client in one process, on free loopback ports. It shows that the
 * program serves on this machine, and runs what a gateway runs while the build records which classes that needs. Never part of
 * a gateway in service. Runs on the event loop.
 */
public final class Rehearsal {
    private static final int REQUESTS = 60;
    private static final int MAX_RETRIES = 100;
    private static final long RETRY_AFTER_MS = 50;
    private static final int DISTINCT_KEYS = 7;
    private static final int VALUE_GROWTH_BYTES = 500; // from one request to the next, to cover large values, too
    private static final String REJECTED = "53300"; // the SQLSTATE of a rejection
    private static final InetSocketAddress ANY_LOOPBACK_PORT =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final Vertx vertx;
    private final ConfigurationFile configuration;
    private final DevClient client;
    private int succeeded;

    private Rehearsal(Vertx vertx, ConfigurationFile configuration, DevClient client) {
        this.vertx = vertx;
        this.configuration = configuration;
        this.client = client;
    }

    /**
     * Runs it. May be called on any thread.
     *
     * @return how many requests succeeded, as a sentence; fails unless all did
     */
    public static Future<String> play(Vertx vertx, Log log, ConfigurationFile configuration) {
        return DevServers.start(vertx, configuration, true)
                .compose(servers -> startGateway(vertx, log, configuration, servers))
                .compose(gateway -> connect(vertx, gateway))
                .compose(client -> new Rehearsal(vertx, configuration, client).run())
                .compose(Rehearsal::result);
    }

    private static Future<Gateway> startGateway(
            Vertx vertx, Log log, ConfigurationFile configuration, DevServers servers) {
        EndpointList known = new EndpointList(0, true, servers.entries(), List.of());
        ConfigurationFile rehearsed = new ConfigurationFile(
                configuration.name(),
                ANY_LOOPBACK_PORT,
                servers.discovery(),
                configuration.seed(),
                configuration.sockets(),
                configuration.settings(),
                known,
                null,
                List.of());
        return Gateway.builder(vertx, log, rehearsed).start();
    }

    private static Future<DevClient> connect(Vertx vertx, Gateway gateway) {
        InetSocketAddress address = new InetSocketAddress(ANY_LOOPBACK_PORT.getAddress(), gateway.port());
        return DevClient.connect(vertx, address);
    }

    private static Future<String> result(int succeeded) {
        String counts = succeeded + " of " + REQUESTS + " ops acked";
        return succeeded == REQUESTS ? Future.succeededFuture(counts) : Future.failedFuture("only " + counts);
    }

    /** An empty query and one without a comment, then all requests; the future holds how many succeeded. */
    private Future<Integer> run() {
        return client.ask("")
                .compose(ignored -> client.ask("SELECT nothing"))
                .compose(ignored -> sendFrom(0, 0))
                .compose(ignored -> client.close())
                .map(ignored -> succeeded);
    }

    private Future<Void> sendFrom(int index, int retries) {
        if (index == REQUESTS) {
            return Future.succeededFuture();
        }
        return client.ask(query(index, retries)).compose(answer -> {
            if (answer.contains(REJECTED) && retries < MAX_RETRIES) { // ordinary right after the start
                return vertx.timer(RETRY_AFTER_MS, TimeUnit.MILLISECONDS)
                        .compose(ignored -> sendFrom(index, retries + 1));
            }
            if (answer.startsWith("row ")) {
                succeeded++;
            }
            return sendFrom(index + 1, 0);
        });
    }

    private String query(int index, int retries) {
        int classIndex = index % configuration.settings().requestClasses().size();
        RequestClass requestClass =
                configuration.settings().started().requestClasses().get(classIndex);
        String key = "k" + index % DISTINCT_KEYS;
        if (requestClass.consistency() == RequestClass.Consistency.WRITE) {
            String value = "ab".repeat(1 + index * VALUE_GROWTH_BYTES);
            return "INSERT INTO state (uid, val) VALUES ('" + key + "', '\\x" + value + "') RETURNING val"
                    + comment(index, retries, classIndex);
        }
        return "SELECT val FROM state WHERE uid = '" + key + "'" + comment(index, retries, classIndex);
    }

    /** The comment that the gateway reads: the request's id, class, tenant, timeout and group. */
    private String comment(int index, int retries, int classIndex) {
        String id = Integer.toHexString(0x1000 + 16 * index + retries);
        String className = configuration.settings().requestClasses().get(classIndex);
        List<String> tenants = configuration.settings().tenants();
        String tenant = tenants.isEmpty() ? "" : ",t=" + tenants.get(0);
        long group = configuration.known().entries().get(0).endpoint().group().number();
        return " /* id=" + id + ",c=" + className + tenant + ",d=1000,cluster=" + group + " */";
    }
}
