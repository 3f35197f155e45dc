package ploverdale.net;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ploverdale.clock.Clock;
import ploverdale.log.Log;
import ploverdale.model.Endpoint;
import ploverdale.model.GroupId;
import ploverdale.model.ServerId;
import ploverdale.model.Tenant;
import ploverdale.model.ZoneId;
import ploverdale.settings.ConfigurationFile;
import ploverdale.settings.EndpointList;

/**
 * The warm-up before the gateway serves: runs requests through a second gateway, with a fake client, server and
 * discovery agent on free ports of the gateway's address, so that classes are loaded and methods compiled before
 * clients send requests. It communicates with no other process and closes all that it opened; its failure does not
 * prevent the gateway from serving.
 */
final class StartupWarmUp {
    /**
     * Enough requests to have hot methods compiled: they are called at least twice per request, and compiled after 200
     * calls.
     */
    private static final int MAX_REQUESTS = 120;

    /** The number of requests after which all classes are loaded. */
    private static final int MIN_REQUESTS = 24;

    /**
     * The warm-up sends as many requests as one gateway's agreed traffic has in this time. A gateway with less traffic
     * needs compiled methods later, and it does not serve during the warm-up.
     */
    private static final double SECONDS_OF_AGREED_TRAFFIC = 0.5;

    /** The warm-up is stopped after this time, and the gateway starts to serve without it. */
    private static final long TIMEOUT_MS = 5000;

    private static final List<String> SERVER_NAMES = List.of("a", "b", "c");

    private StartupWarmUp() {}

    /** Runs the warm-up. The future completes when all sockets of the warm-up are closed, and never fails. */
    static Future<Void> run(Vertx vertx, Log log, ConfigurationFile configuration, Clock clock) {
        long startedAtMs = clock.monotonicMs();
        return vertx.deployVerticle(new WarmUpVerticle(configuration, clock))
                .compose(vertx::undeploy)
                .otherwise(failure -> {
                    log.line("warm-up failed, the gateway starts without it: " + failure.getMessage());
                    return null;
                })
                .onSuccess(ignored -> log.line(
                        "warm-up took " + (clock.monotonicMs() - startedAtMs) + " ms")); // log line: on-call guide
    }

    /** Owns all sockets and timers of the warm-up; undeploying it closes them. */
    private static final class WarmUpVerticle extends VerticleBase {
        private final ConfigurationFile configuration;
        private final Clock clock;
        private final long startedAtMs;

        private WarmUpVerticle(ConfigurationFile configuration, Clock clock) {
            this.configuration = configuration;
            this.clock = clock;
            startedAtMs = clock.monotonicMs();
        }

        @Override
        public Future<?> start() {
            WarmUpClient client = new WarmUpClient(vertx, configuration.settings(), clock, startedAtMs);
            WarmUpServer server = new WarmUpServer(clock);
            return listen(server::accept)
                    .compose(serverAddress -> listen(
                                    socket -> WarmUpDiscovery.accept(socket, SERVER_NAMES, serverAddress))
                            .compose(discoveryAddress -> startGateway(serverAddress, discoveryAddress)))
                    .compose(gateway -> client.run(address(gateway.port()), requestCount())
                            .onComplete(ignored -> gateway.stopDiscovery()))
                    .timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        private int requestCount() {
            double agreedPerSecond = configuration.settings().started().tenants().stream()
                            .mapToDouble(Tenant::requestsPerSecond)
                            .sum()
                    / Math.max(1, configuration.settings().started().gateways());
            if (agreedPerSecond == 0) {
                return MAX_REQUESTS;
            }
            double requestsInThatTime = agreedPerSecond * SECONDS_OF_AGREED_TRAFFIC;
            return (int) Math.max(MIN_REQUESTS, Math.min(MAX_REQUESTS, requestsInThatTime));
        }

        private InetSocketAddress address(int port) {
            return new InetSocketAddress(configuration.listen().getAddress(), port);
        }

        private Future<InetSocketAddress> listen(Consumer<NetSocket> acceptor) {
            return vertx.createNetServer()
                    .connectHandler(acceptor::accept)
                    .listen(0, configuration.listen().getAddress().getHostAddress())
                    .map(NetServer::actualPort)
                    .map(this::address);
        }

        private Future<Gateway> startGateway(InetSocketAddress server, InetSocketAddress discovery) {
            Log discardingLog = new Log(new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
            return Gateway.builder(vertx, discardingLog, warmUpConfiguration(server, discovery))
                    .context(context)
                    .clock(clock)
                    .withoutWarmUp()
                    .start();
        }

        private ConfigurationFile warmUpConfiguration(InetSocketAddress server, InetSocketAddress discovery) {
            List<EndpointList.Entry> entries = new ArrayList<>();
            for (String name : SERVER_NAMES) {
                entries.add(new EndpointList.Entry(endpoint(name), server));
            }
            return new ConfigurationFile(
                    "warm-up",
                    address(0),
                    discovery,
                    configuration.seed(),
                    configuration.sockets(),
                    configuration.settings(),
                    new EndpointList(0, true, entries, List.of()),
                    null,
                    List.of());
        }

        private static Endpoint endpoint(String name) {
            return new Endpoint(new ServerId(name), new GroupId(0), new ZoneId(0), Endpoint.EndpointState.IN, true, 0);
        }
    }
}
