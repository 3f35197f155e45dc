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
 * One running gateway: creates its parts, connects them, and is the handle by which the process controls it. Never decides
 * about a request or a server. Its parts belong to the event loop; methods may be called on that loop only, unless they say
 * otherwise.
 */
public final class Gateway {
    private static final long TENTHS_PER_MS = 10;

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
    private NetServer listener; // null before the start is complete; referenced, since Vert.x may close one that is not

    /** The order in which parts are created is the order of their timers. */
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
        servers = new ServerConnectionPool(vertx, log, settings, limits, this::makeRoomForServer, serverClock);
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
    }

    /** Starts to describe a gateway. May be called on any thread. */
    public static GatewayBuilder builder(Vertx vertx, Log log, ConfigurationFile configuration) {
        return new GatewayBuilder(vertx, log, configuration);
    }

    /** Starts a gateway without a warm-up. May be called on any thread. */
    static Future<Gateway> start(GatewayOptions options) {
        Promise<Gateway> started = Promise.promise();
        options.context().runOnContext(ignored -> new Gateway(options).start(started));
        return started.future();
    }

    private void start(Promise<Gateway> started) {
        startup.run(startedEvent(), new StartupDiscovery())
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
        membership.ifPresent(present -> transport.setFirstReader(present::receive));
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
        transport.whenReceived(replicas::runCallbacks);
        return coordinator;
    }

    private void sendToPeer(int peer, byte[] datagram) {
        peers.send(peer, datagram);
    }

    /** The router's settings; where gateways replicate sessions, each request brings how fresh its reads must be. */
    private Event.Started startedEvent() {
        Event.Started settings = reload.current().settings().started();
        return new Event.Started(
                settings.seed(),
                settings.gateways(),
                settings.requestClasses(),
                settings.tenants(),
                settings.beyondShareValue(),
                settings.guarantees(),
                settings.capabilities(),
                history.replicaGuarantees(settings.replicaGuarantees()),
                settings.listOnDemand(),
                settings.gatewayIndex());
    }

    /** The endpoint lists of the start. */
    private final class StartupDiscovery implements GatewayStartup.EndpointLists {
        @Override
        public void request() {
            discovery.follow();
        }

        @Override
        public boolean areKnown() {
            return initialEndpoints.hasAnswer();
        }

        @Override
        public void load() {
            if (!initialEndpoints.hasAnswer()) {
                log.line("discovery has not answered: starts with the configured list");
            }
            initialEndpoints.release(reload.current().known());
        }
    }

    private void onClockOffsetChanged() {
        endpoints.onClockOffsetChanged();
        history.clockOffsetChanged();
    }

    /**
     * Evicts until one more connection to a server may be opened.
     *
     * @return whether it may be opened now; an evicted connection may take a moment to close
     */
    private boolean makeRoomForServer() {
        while (!limits.serverFits()) {
            ConnectionLimits.Eviction<ClientSession> eviction = limits.wayForServer(clock.monotonicMs());
            if (eviction != null) {
                clients.evict(eviction);
            } else if (!servers.closeLongestIdle()) {
                break;
            }
        }
        clients.closeLingering(limits.over() + 1);
        return limits.mayOpen();
    }

    /** The port on which it accepts clients. May be called on any thread. */
    public int port() {
        return listener.actualPort();
    }

    /**
     * Begins a graceful shutdown.
     *
     * @param finished counted down when the process may exit
     */
    public void shutdownGracefully(CountDownLatch finished) {
        shutdownGracefully(clock.nanos(), finished);
    }

    /**
     * Begins a graceful shutdown whose times count from a signal, which this loop may act on late.
     *
     * @param signalNanos when the signal arrived, by {@link Clock#nanos}
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
        return longest / TENTHS_PER_MS;
    }

    /** Reads the configuration again, see {@link ConfigurationReload#reload}. May be called on any thread but the loop's. */
    public void reloadConfiguration(Path path) {
        reload.reload(path);
    }

    /** Stops to follow the endpoint list. */
    void stopDiscovery() {
        discovery.stop();
    }

    /** Runs a task on the gateway's event loop. May be called on any thread. */
    public void runOnLoop(Runnable task) {
        loop.execute(task);
    }
}
