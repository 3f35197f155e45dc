package ploverdale.net;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import ploverdale.clock.Clock;
import ploverdale.clock.ServerClock;
import ploverdale.limits.ConnectionLimits;
import ploverdale.log.Log;
import ploverdale.model.Event;
import ploverdale.model.Quota;
import ploverdale.model.RequestClass;
import ploverdale.net.client.ClientConnections;
import ploverdale.net.client.ClientSession;
import ploverdale.net.discovery.Discovery;
import ploverdale.net.eventloop.RouterEventLoop;
import ploverdale.net.peer.ClientRequests;
import ploverdale.net.peer.GossipTransport;
import ploverdale.net.peer.MembershipTransport;
import ploverdale.net.peer.PeerTransport;
import ploverdale.net.peer.ReplicaRequests;
import ploverdale.net.peer.ReplicationCoordinator;
import ploverdale.net.peer.RequestHistory;
import ploverdale.net.server.ServerConnectionPool;
import ploverdale.net.shutdown.GracefulShutdownRunner;
import ploverdale.settings.ConfigurationFile;
import ploverdale.settings.GatewaySettings;

/**
 * One running gateway: creates its components and connects them, and lets the process control it. Never decides about a
 * request or a server. The components belong to the event loop; methods may be called on that loop only, unless their
 * documentation says otherwise.
 */
public final class Gateway {
    private static final long TICKS_PER_MS = 10;

    private final Vertx vertx;
    private final Log log;
    private final Clock clock;
    private final RouterEventLoop loop;
    private final ConnectionLimits<ClientSession> limits;
    private final ClientConnections clients;
    private final ServerConnectionPool servers;
    private final EndpointUpdates endpoints;
    private final InitialEndpoints initialEndpoints;
    private final Discovery discovery;
    private final PeerTransport peers;
    private final Optional<MembershipTransport> membership;
    private final RequestHistory history;
    private final GatewayStartup startup;
    private final ConfigurationReload reload;
    private final Consumer<Gateway> beforeListening;
    /**
     * Null until the start is complete. The field keeps the server reachable: Vert.x may close one that is no longer
     * referenced.
     */
    private NetServer listener;

    /** Creates all components. The order of creation matters: it determines the order in which their timers fire. */
    private Gateway(GatewayOptions options) {
        vertx = options.vertx();
        log = options.log();
        clock = options.clock();
        ConfigurationFile configuration = options.configuration();
        GatewaySettings settings = configuration.settings();
        ServerClock serverClock = new ServerClock(log::line, clock);
        vertx.setPeriodic(ServerClock.STEP_CHECK_INTERVAL_MS, id -> serverClock.checkForStep());
        limits = new ConnectionLimits<>(configuration.sockets());
        membership = membership(options, serverClock);
        Quota quota = membership.isPresent() ? membership.get().node().quota() : null;
        loop = new RouterEventLoop(vertx, options.context(), log, quota, clock);
        clients = new ClientConnections(vertx, log, loop, settings, limits, serverClock);
        servers = new ServerConnectionPool(vertx, log, settings, limits, this::ensureServerCapacity, serverClock);
        peers = peers(options, serverClock);
        history = history(options, serverClock);
        endpoints = new EndpointUpdates(loop, servers, serverClock);
        initialEndpoints = new InitialEndpoints(endpoints::onList);
        SplittableRandom random = new SplittableRandom(configuration.seed());
        discovery =
                new Discovery(vertx, log, settings, configuration.discovery(), random, initialEndpoints::onList, clock);
        GatewayActions actions =
                new GatewayActions(log, loop, clients, servers, discovery, peers, history, serverClock);
        loop.setActionHandler(actions);
        serverClock.whenChanged(this::onClockOffsetChanged);
        startup = new GatewayStartup(options, loop, clients, peers, actions);
        reload = new ConfigurationReload(log, loop, limits, discovery, configuration);
        beforeListening = options.beforeListening();
    }

    /** Returns a builder for a gateway. May be called on any thread. */
    public static GatewayBuilder builder(Vertx vertx, Log log, ConfigurationFile configuration) {
        return new GatewayBuilder(vertx, log, configuration);
    }

    /**
     * Starts a gateway without a warm-up. May be called on any thread.
     *
     * @return completes when the gateway serves, and fails if it cannot listen
     */
    static Future<Gateway> start(GatewayOptions options) {
        Promise<Gateway> started = Promise.promise();
        options.context().runOnContext(ignored -> new Gateway(options).start(started));
        return started.future();
    }

    private void start(Promise<Gateway> started) {
        startup.run(startedEvent(), new StartupEndpointLists(), () -> beforeListening.accept(this))
                .onSuccess(server -> {
                    listener = server;
                    started.complete(this);
                })
                .onFailure(started::fail);
    }

    private Optional<MembershipTransport> membership(GatewayOptions options, ServerClock serverClock) {
        if (options.quotaSettings().isEmpty() || !options.hasPeers()) {
            return Optional.empty();
        }
        return Optional.of(new MembershipTransport(
                vertx,
                log,
                options.quotaSettings().get(),
                options.configuration().settings().started(),
                this::sendToPeer,
                serverClock));
    }

    private PeerTransport peers(GatewayOptions options, ServerClock serverClock) {
        if (!options.hasPeers()) {
            return PeerTransport.NONE;
        }
        List<InetSocketAddress> addresses = options.configuration().peers();
        GossipTransport transport = new GossipTransport(vertx, log, loop::enqueue, addresses);
        transport.setServerClock(serverClock);
        membership.ifPresent(present -> transport.setDatagramInterceptor(present::receive));
        return transport;
    }

    private RequestHistory history(GatewayOptions options, ServerClock serverClock) {
        ClientRequests requests = new ClientRequestsAdapter(loop, clients);
        if (membership.isEmpty() || membership.get().node().replicas() == null) {
            return RequestHistory.none(requests);
        }
        MembershipTransport transport = membership.get();
        ReplicaRequests replicas = new ReplicaRequests(transport.node().replicas(), transport::exchange);
        ReplicationCoordinator coordinator = new ReplicationCoordinator(
                vertx,
                log,
                requests,
                options.configuration().settings(),
                options.quotaSettings().orElseThrow().replication(),
                replicas,
                serverClock);
        clients.useHistory(coordinator);
        transport.setReceiveListener(replicas::runCallbacks);
        return coordinator;
    }

    private void sendToPeer(int peer, byte[] datagram) {
        peers.send(peer, datagram);
    }

    /**
     * Returns the router's settings. If the gateways replicate sessions, the guarantees of replicas are adapted, since
     * each request then states how recent its reads must be.
     */
    private Event.Started startedEvent() {
        Event.Started settings = reload.current().settings().started();
        return new Event.Started(
                settings.seed(),
                settings.gateways(),
                settings.requestClasses(),
                settings.tenants(),
                settings.valueBeyondAgreedTraffic(),
                settings.guarantees(),
                settings.capabilities(),
                history.replicaGuarantees(settings.replicaGuarantees()),
                settings.listOnDemand(),
                settings.gatewayIndex());
    }

    /** The endpoint lists that this gateway starts with, from discovery or from the configuration. */
    private final class StartupEndpointLists implements GatewayStartup.EndpointLists {
        @Override
        public void request() {
            discovery.follow();
        }

        @Override
        public boolean hasDiscoveryAnswered() {
            return initialEndpoints.hasDiscoveryAnswered();
        }

        @Override
        public void load() {
            if (!initialEndpoints.hasDiscoveryAnswered()) {
                log.line("discovery has not answered: starts with the configured list");
            }
            initialEndpoints.load(reload.current().known());
        }
    }

    private void onClockOffsetChanged() {
        endpoints.onClockOffsetChanged();
        history.clockOffsetChanged();
    }

    /**
     * Evicts connections until the limits allow one more connection to a server.
     *
     * @return whether it may be opened now; false if an evicted connection has not closed yet, or none could be evicted
     */
    private boolean ensureServerCapacity() {
        while (!limits.hasCapacityForServer()) {
            ConnectionLimits.Eviction<ClientSession> eviction = limits.evictionForServer(clock.monotonicMs());
            if (eviction != null) {
                clients.evict(eviction);
            } else if (!servers.closeLongestIdle()) {
                break;
            }
        }
        clients.closeLingering(limits.excessConnections() + 1);
        return limits.mayOpenServerConnection();
    }

    /** Returns the port on which the gateway accepts clients. May be called on any thread. */
    public int port() {
        return listener.actualPort();
    }

    /**
     * Begins a graceful shutdown now, also if the start is not complete yet.
     *
     * @param finished counted down when the process may exit
     */
    public void shutdownGracefully(CountDownLatch finished) {
        shutdownGracefully(clock.nanos(), finished);
    }

    /**
     * Begins a graceful shutdown whose time limits count from the arrival of a signal, which may precede this call.
     *
     * @param signalNanos when the signal arrived, in nanoseconds of {@link Clock#nanos}
     * @param finished counted down when the process may exit
     */
    public void shutdownGracefully(long signalNanos, CountDownLatch finished) {
        GracefulShutdownRunner.Parts parts = new GracefulShutdownRunner.Parts(vertx, log, loop, clients, clock);
        Runnable leaveMembership = () -> membership.ifPresent(MembershipTransport::leave);
        new GracefulShutdownRunner(parts, leaveMembership, longestTimeoutMs(), signalNanos, finished).begin();
    }

    private long longestTimeoutMs() {
        long longest = reload.current().settings().started().requestClasses().stream()
                .mapToLong(RequestClass::timeout)
                .max()
                .orElse(0);
        return longest / TICKS_PER_MS;
    }

    /**
     * Reads the configuration again; see {@link ConfigurationReload#reload}. May be called on any thread except the
     * event loop's.
     */
    public void reloadConfiguration(Path path) {
        reload.reload(path);
    }

    /** Stops following the endpoint list of discovery. */
    void stopDiscovery() {
        discovery.stop();
    }

    /** Runs a task on the gateway's event loop. May be called on any thread. */
    public void runOnLoop(Runnable task) {
        loop.execute(task);
    }
}
