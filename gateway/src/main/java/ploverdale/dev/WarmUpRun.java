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
 * A warm-up run: a gateway between development servers and a development client, in one process and on free loopback
 * ports. It shows that the program works on this machine. The build runs it, too, to record the classes that a gateway
 * loads, for the class data archive. Never part of a gateway in service. Runs on the event loop.
 */
public final class WarmUpRun {
    private static final int REQUESTS = 60;
    private static final int MAX_RETRIES = 100;
    private static final long RETRY_AFTER_MS = 50;
    private static final int DISTINCT_KEYS = 7;
    private static final int VALUE_GROWTH_BYTES = 500; // from one request to the next, so that large values are covered
    private static final String REJECTED_SQLSTATE = "53300";
    private static final InetSocketAddress ANY_LOOPBACK_PORT =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final Vertx vertx;
    private final ConfigurationFile configuration;
    private final DevClient client;
    private int succeeded;

    private WarmUpRun(Vertx vertx, ConfigurationFile configuration, DevClient client) {
        this.vertx = vertx;
        this.configuration = configuration;
        this.client = client;
    }

    /**
     * Starts the servers and the gateway and sends the requests. May be called on any thread.
     *
     * @return a sentence that says how many requests succeeded; the future fails unless all did
     */
    public static Future<String> start(Vertx vertx, Log log, ConfigurationFile configuration) {
        return DevServers.start(vertx, configuration, true)
                .compose(servers -> startGateway(vertx, log, configuration, servers))
                .compose(gateway -> connect(vertx, gateway))
                .compose(client -> new WarmUpRun(vertx, configuration, client).run())
                .compose(WarmUpRun::result);
    }

    private static Future<Gateway> startGateway(
            Vertx vertx, Log log, ConfigurationFile configuration, DevServers servers) {
        EndpointList known = new EndpointList(0, true, servers.entries(), List.of());
        ConfigurationFile adapted = new ConfigurationFile(
                configuration.name(),
                ANY_LOOPBACK_PORT,
                servers.discovery(),
                configuration.seed(),
                configuration.sockets(),
                configuration.settings(),
                known,
                null,
                List.of());
        return Gateway.builder(vertx, log, adapted).start();
    }

    private static Future<DevClient> connect(Vertx vertx, Gateway gateway) {
        InetSocketAddress address = new InetSocketAddress(ANY_LOOPBACK_PORT.getAddress(), gateway.port());
        return DevClient.connect(vertx, address);
    }

    private static Future<String> result(int succeeded) {
        String counts = succeeded + " of " + REQUESTS + " requests succeeded";
        return succeeded == REQUESTS ? Future.succeededFuture(counts) : Future.failedFuture("only " + counts);
    }

    /**
     * Sends an empty query, one without the comment of a request, and then all requests; returns how many requests
     * succeeded.
     */
    private Future<Integer> run() {
        return client.query("")
                .compose(ignored -> client.query("SELECT nothing"))
                .compose(ignored -> sendFrom(0, 0))
                .compose(ignored -> client.close())
                .map(ignored -> succeeded);
    }

    private Future<Void> sendFrom(int index, int retries) {
        if (index == REQUESTS) {
            return Future.succeededFuture();
        }
        return client.query(query(index, retries)).compose(answer -> {
            if (answer.contains(REJECTED_SQLSTATE) && retries < MAX_RETRIES) { // expected right after the start
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

    /** The comment that the gateway parses: the request's id, class, tenant, timeout and group. */
    private String comment(int index, int retries, int classIndex) {
        String id = Integer.toHexString(0x1000 + 16 * index + retries);
        String className = configuration.settings().requestClasses().get(classIndex);
        List<String> tenants = configuration.settings().tenants();
        String tenant = tenants.isEmpty() ? "" : ",t=" + tenants.get(0);
        long group = configuration.known().entries().get(0).endpoint().group().number();
        return " /* id=" + id + ",c=" + className + tenant + ",d=1000,cluster=" + group + " */";
    }
}
