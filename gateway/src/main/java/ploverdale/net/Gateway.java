package ploverdale.net;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.spi.transport.Transport;
import java.net.BindException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import ploverdale.clock.Clock;
import ploverdale.limits.ConnectionLimits;
import ploverdale.log.Log;
import ploverdale.model.Action;
import ploverdale.model.Endpoint;
import ploverdale.model.Event;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
import ploverdale.net.ConfigurationFile.ServerList;
import ploverdale.net.client.AcceptedRequest;
import ploverdale.net.client.ClientConnections;
import ploverdale.net.client.ClientSession;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.quota.QuotaSettings;
import ploverdale.shutdown.GracefulShutdown;

/**
 * Owns the parts of one gateway: starts them in order, passes each action of the module to the part that carries
 * it out and each outcome back, gives them a new configuration and ends them at a planned restart. Must never decide
 * anything about an op or a server, nor stop while an op taken in time has no answer.
 */
public final class Gateway implements RouterEventLoop.ActionHandler {
    private static final int LISTEN_TRIES = 50; // 5 s, half of what a restart may take
    private static final long LISTEN_AGAIN_MS = 100;
    private static final int CALM_LOOKS = 5; // at the clock, with the loop on time, before service begins
    private static final int CALM_MOST = 50;
    private static final long START_LOOK_MS = 10;
    private static final long WORDS_WITHIN_MS = 100; // of other instances, before service begins without them
    private static final long LOOK_MS = 20;
    private static final long LONGEST_COUNTED_MS =
            3000; // the platform kills no earlier than after the longest op timeout,
    private static final long KILLED_AFTER_MS = 700; // counted up to this, and this much more

    private final Vertx vertx;
    private final Log log;
    private ConfigurationFile file;
    private final RouterEventLoop loop;
    private final ClientConnections clients;
    private final ServerConnections servers;
    private final Discovery discovery;
    private final GossipTransport peers; // null where instances do not talk
    private final MembershipTransport fleet; // null but where a fleet file switches it on
    private final ReplicationCoordinator past; // null but where that file has something kept
    private final ConnectionLimits<ClientSession> limits;
    private final ServerClock time;
    private final Map<ServerId, Start> starts = new HashMap<>();
    private int probesOut;
    private int probesEnded;
    private NetServer server; // held, since one that nobody holds may be closed

    /** When a server last started, as the list dates it and as service time. */
    private record Start(long wall, long serviceTime) {}

    private Gateway(
            Vertx vertx,
            Context context,
            Log log,
            ConfigurationFile file,
            Optional<QuotaSettings> quotaSettings,
            Clock clock) {
        this.vertx = vertx;
        this.log = log;
        this.file = file;
        time = new ServerClock(log, clock);
        vertx.setPeriodic(ServerClock.LOOK_MS, x -> time.look());
        limits = new ConnectionLimits<>(file.sockets());
        fleet = quotaSettings.isEmpty() || file.peerListen() == null
                ? null
                : new MembershipTransport(
                        vertx,
                        log,
                        quotaSettings.get(),
                        file.settings().started(),
                        (to, bytes) -> peers().send(to, bytes),
                        time);
        loop = new RouterEventLoop(vertx, context, log, this, fleet == null ? null : fleet.shared(), clock);
        clients = new ClientConnections(vertx, log, loop, file.settings(), limits, time);
        servers = new ServerConnections(vertx, log, file.settings(), limits, this::makeRoom, time);
        peers = file.peerListen() == null ? null : new GossipTransport(vertx, log, loop, file.peers());
        if (peers != null) {
            peers.datedBy(time);
        }
        if (fleet != null) {
            peers.readFirst(fleet::hears);
        }
        past = fleet == null || fleet.shared().replicas() == null
                ? null
                : new ReplicationCoordinator(
                        vertx,
                        log,
                        loop,
                        clients,
                        file.settings(),
                        quotaSettings.get().keeping(),
                        fleet.shared().replicas(),
                        fleet::keeps,
                        time);
        if (past != null) {
            clients.useHistory(past);
            fleet.whenHeard(past::ended);
        }
        discovery = new Discovery(
                vertx, log, file.settings(), file.discovery(), new SplittableRandom(file.seed()), this::listed, clock);
        time.whenChanged(this::datedAnew);
    }

    private GossipTransport peers() {
        return peers;
    }

    /** One event loop for all; nothing looked up by name, no files kept. */
    public static Vertx vertx() {
        return vertx(new SleepingTransport());
    }

    /** The same, with channels made by this; for tests in which system calls fail. */
    public static Vertx vertx(Transport channels) {
        return vertx(new SleepingTransport(channels));
    }

    private static Vertx vertx(SleepingTransport transport) {
        System.setProperty("vertx.disableDnsResolver", "true");
        return Vertx.builder()
                .withTransport(transport)
                .with(new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1)
                        .setBlockedThreadCheckInterval(60_000)
                        .setFileSystemOptions(new FileSystemOptions()
                                .setFileCachingEnabled(false)
                                .setClassPathResolvingEnabled(false)))
                .build();
    }

    /** Practises, then starts a gateway; done when it listens. */
    public static Future<Gateway> start(Vertx vertx, Log log, ConfigurationFile file) {
        return start(vertx, log, file, Optional.empty());
    }

    /** The same, by that clock. */
    public static Future<Gateway> start(Vertx vertx, Log log, ConfigurationFile file, Clock clock) {
        return start(vertx, log, file, Optional.empty(), clock);
    }

    /** The same, with the fleet's parts that this file switches on. Optional, so that where there is none its class is not loaded. */
    public static Future<Gateway> start(Vertx vertx, Log log, ConfigurationFile file, Optional<QuotaSettings> fleet) {
        return start(vertx, log, file, fleet, Clock.system());
    }

    private static Future<Gateway> start(
            Vertx vertx, Log log, ConfigurationFile file, Optional<QuotaSettings> fleet, Clock clock) {
        Context context = vertx.getOrCreateContext();
        return StartupWarmUp.run(vertx, log, file, clock)
                .compose(x -> unpractised(vertx, context, log, file, fleet, clock));
    }

    /** Starts a gateway as it is, for one that has practised in this process; done when it listens. */
    public static Future<Gateway> unpractised(Vertx vertx, Context context, Log log, ConfigurationFile file) {
        return unpractised(vertx, context, log, file, Clock.system());
    }

    /** The same, by that clock. */
    static Future<Gateway> unpractised(Vertx vertx, Context context, Log log, ConfigurationFile file, Clock clock) {
        return unpractised(vertx, context, log, file, Optional.empty(), clock);
    }

    private static Future<Gateway> unpractised(
            Vertx vertx, Context context, Log log, ConfigurationFile file, Optional<QuotaSettings> fleet, Clock clock) {
        Promise<Gateway> listening = Promise.promise();
        context.runOnContext(x -> new Gateway(vertx, context, log, file, fleet, clock).listen(listening));
        return listening.future();
    }

    private void listen(Promise<Gateway> listening) {
        bindListener(LISTEN_TRIES)
                .compose(s -> {
                    server = s;
                    return peers == null ? Future.<Void>succeededFuture() : peers.listen(file.peerListen());
                })
                .onSuccess(x -> begin(listening))
                .onFailure(listening::fail);
    }

    /** Listens for clients; again a little later where this machine lacked descriptors or buffers for the socket. */
    private Future<NetServer> bindListener(int triesLeft) {
        return vertx.createNetServer(new NetServerOptions()
                        .setTcpNoDelay(true)
                        .setReuseAddress(true)
                        .setAcceptBacklog(1024))
                .connectHandler(clients::accept)
                .listen(file.listen().getPort(), file.listen().getAddress().getHostAddress())
                .recover(e -> {
                    boolean addressAtFault = e instanceof BindException; // taken, not this machine's, or not allowed
                    if (triesLeft <= 1 || addressAtFault || ConnectionFailure.of(e) != ConnectionFailure.LOCAL) {
                        return Future.failedFuture(e);
                    }
                    log.often("cannot listen yet", String.valueOf(e.getMessage()));
                    return vertx.timer(LISTEN_AGAIN_MS).compose(x -> bindListener(triesLeft - 1));
                });
    }

    /**
     * Guards against first probes and first ops that are late because this program is: the module hears of the servers
     * once the loop is on time, and the first client is let in once the first probes have ended, or, where another instance
     * has told what it knows, the first of them.
     */
    private void begin(Promise<Gateway> listening) {
        loop.tell(started());
        when(() -> loop.behind() == 0, CALM_MOST, CALM_LOOKS, () -> {
            listed(file.known());
            discovery.follow();
            long since = time.clock().monotonicMs();
            when(
                    () -> peers == null
                            ? firstProbesEnded()
                            : peers.heard()
                                    ? probesEnded > 0
                                    : firstProbesEnded() && time.clock().monotonicMs() - since > WORDS_WITHIN_MS,
                    (int) (file.settings().connectLimit() / 10 / START_LOOK_MS) + 1,
                    1,
                    () -> {
                        clients.startServing();
                        log.line("gateway " + file.name() + " listens at "
                                + file.listen().getAddress().getHostAddress() + ":" + port() + ", "
                                + file.known().entries().size() + " servers known");
                        listening.complete(this);
                    });
        });
    }

    /** Also that the module knows of all ends, after which it may have sent further ones. */
    private boolean firstProbesEnded() {
        return probesOut == 0 && loop.isDrained();
    }

    /** What the module is told; where the fleet keeps sessions, each op brings how far its reads must reach. */
    private Event.Started started() {
        Event.Started s = file.settings().started();
        return past == null
                ? s
                : new Event.Started(
                        s.seed(),
                        s.gateways(),
                        s.requestClasses(),
                        s.tenants(),
                        s.beyondShareValue(),
                        s.guarantees(),
                        s.capabilities(),
                        past.copies(s.copies()),
                        s.listOnDemand(),
                        s.me());
    }

    /** Does the next thing once this was so at that many looks, or after the most looks. */
    private void when(BooleanSupplier so, int most, int wanted, Runnable then) {
        if (wanted == 0 || most == 0) {
            then.run();
        } else {
            vertx.setTimer(START_LOOK_MS, x -> when(so, most - 1, so.getAsBoolean() ? wanted - 1 : wanted, then));
        }
    }

    /** Has ended what the limits say makes way for one more connection to a server; false where none may be opened yet. */
    private boolean makeRoom() {
        while (!limits.serverFits()) {
            ConnectionLimits.Eviction<ClientSession> way =
                    limits.wayForServer(time.clock().monotonicMs());
            if (way != null) {
                clients.evict(way);
            } else if (!servers.closeLongestIdle()) {
                break;
            }
        }
        clients.closeLingering(limits.over() + 1);
        return limits.mayOpen();
    }

    /** Where it listens. */
    public int port() {
        return server.actualPort();
    }

    private void listed(ServerList list) {
        if (list.whole()) {
            starts.keySet()
                    .retainAll(list.entries().stream()
                            .map(e -> e.listing().server())
                            .collect(Collectors.toSet()));
        }
        List<Endpoint> endpoints =
                list.entries().stream().map(e -> dated(e.listing())).toList();
        for (ConfigurationFile.Entry e : list.entries()) {
            if (e.address() != null) {
                servers.reachedAt(e.listing().server(), e.address());
            }
            if (e.listing().stage() == Endpoint.EndpointState.GONE) {
                servers.closeIdle(e.listing().server());
            }
        }
        loop.tell(new Event.EndpointUpdate(list.whole(), false, endpoints));
    }

    /** The listing with its start as service time, the same each time that the same start is listed. */
    private Endpoint dated(Endpoint l) {
        Start start = starts.get(l.server());
        if (start == null || start.wall() != l.startedAt()) {
            start = new Start(l.startedAt(), time.start(l.startedAt()));
        }
        if (l.stage() == Endpoint.EndpointState.GONE) {
            starts.remove(l.server());
        } else {
            starts.put(l.server(), start);
        }
        return new Endpoint(l.server(), l.group(), l.zone(), l.stage(), l.primary(), start.serviceTime());
    }

    private void datedAnew() {
        Map<ServerId, Long> startedAt = new HashMap<>();
        starts.replaceAll((id, start) -> new Start(start.wall(), time.start(start.wall())));
        starts.forEach((id, start) -> startedAt.put(id, start.serviceTime()));
        loop.tell(new Event.ClockOffsetChanged(startedAt));
        if (past != null) {
            past.clockOffsetChanged();
        }
    }

    @Override
    public void send(Action.StartAttempt a) {
        AcceptedRequest t = clients.requestInFlight(a.request());
        if (t == null) { // its client has gone while the module was deciding
            loop.tell(
                    new Event.AttemptEnded(a.request(), 0, a.server(), Event.Outcome.NEVER_SENT, 0, true, null, null));
            answered(a.request());
            return;
        }
        int number = t.nextAttemptNumber();
        int changes = time.changes();
        if (past != null) {
            past.sent(a.request());
        }
        // The process may have been paused since the module read the clock; its limit goes on from there.
        long left = a.timeLimit() - (time.now() - loop.decidedAt());
        // An attempt may have waited for its connection: its client may have gone, a position may have aged, or its
        // server may
        // drain by now, with the grace for that long over.
        servers.send(
                a.request(),
                a.server(),
                left,
                () -> clients.isAwaited(t)
                        && loop.mayReceive(a.server())
                        && (a.writeBy() == Long.MAX_VALUE || time.changes() == changes && time.now() <= a.writeBy()),
                waitMs -> MessageWriter.request(t.query(), waitMs),
                outcome -> sendEnded(a.request(), number, a.server(), outcome));
    }

    private void sendEnded(RequestId request, int number, ServerId server, ServerConnections.AttemptEnd o) {
        if (past != null) {
            past.sendEnded(request, o.outcome(), o.row() != null);
        }
        if (o.row() != null && past != null) {
            past.acked(request, o.row(), o.note(), server);
        } else if (o.row() != null) {
            clients.succeed(request, o.row());
        }
        boolean settled =
                o.row() != null || clients.requestInFlight(request) == null; // its answer may still wait for copies
        loop.tell(
                new Event.AttemptEnded(request, number, server, o.outcome(), o.took(), settled, o.note(), o.report()));
    }

    @Override
    public void cancel(Action.CancelAttempt a) {
        servers.cancel(a.request());
    }

    @Override
    public void rejectRequest(Action.RejectRequest a) {
        clients.reject(a.request(), a.retryAfter());
        answered(a.request());
    }

    private void answered(RequestId request) {
        if (past != null) {
            past.over(request);
        }
    }

    @Override
    public void failRequest(Action.FailRequest a) {
        clients.fail(a.request());
        answered(a.request());
    }

    @Override
    public void probe(Action.CheckHealth a) {
        probesOut++;
        servers.probe(a.server(), o -> {
            probesOut--;
            probesEnded++;
            loop.tell(new Event.HealthCheckEnded(a.server(), o.outcome(), o.report()));
        });
    }

    @Override
    public void closeIdle(Action.CloseIdleConnections a) {
        servers.closeIdle(a.server());
    }

    @Override
    public void tell(Action.SendGossip a) {
        if (peers != null) {
            peers.tell(a);
        }
    }

    @Override
    public void watchEndpoints() {
        discovery.follow();
    }

    /**
     * Planned restart, in the steps of {@link GracefulShutdown}. An op taken on the way is to be answered before the end, whatever
     * its own op timeout.
     */
    public void endPlanned(CountDownLatch done) {
        endPlanned(time.clock().nanos(), done);
    }

    /** The same, with its times counted from the signal, which this loop may have come to late. */
    public void endPlanned(long signalNanos, CountDownLatch done) {
        long longest = file.settings().started().requestClasses().stream()
                        .mapToLong(RequestClass::timeout)
                        .max()
                        .orElse(0)
                / 10;
        long killed = Math.min(longest, LONGEST_COUNTED_MS) + KILLED_AFTER_MS;
        long began = signalNanos / 1_000_000;
        GracefulShutdown shutdown = new GracefulShutdown(killed, clients.requestsPerSecond());
        log.line("planned restart: " + clients.openConnections() + " connections, " + clients.requestsInFlight()
                + " ops in hand, serves on for " + shutdown.endsBy() + " ms or until few ask");
        long answersIn = Math.max(1, shutdown.answersBy() - (time.clock().monotonicMs() - began));
        clients.capDeadlines(time.now() + answersIn * 10);
        loop.tell(new Event.ShutdownBegun());
        // Guards against ops from before the word to leave whose own timeouts are later than the end.
        vertx.setTimer(answersIn, x -> loop.tell(new Event.ShutdownDeadline()));
        if (fleet != null) {
            fleet.leaves();
        }
        clients.onRequest(now -> shutdown.asked(now - began));
        vertx.setPeriodic(LOOK_MS, timer -> {
            long passed = time.clock().monotonicMs() - began;
            if (passed >= shutdown.answersBy()) {
                clients.rejectIncompleteMessages(); // at each look: a message may begin at any time
            }
            switch (shutdown.at(
                    passed,
                    clients.startedConnections() + clients.unflushedConnections(),
                    clients.unansweredConnections())) {
                case ENDS -> clients.closeIdle();
                case FINISHES -> {
                    clients.stopReading();
                    loop.tell(new Event.ShutdownDeadline());
                }
                case OVER -> {
                    vertx.cancelTimer(timer);
                    clients.stopReading(); // before the process exits, which takes a moment
                    log.line("planned restart: ends after " + passed + " ms, " + clients.requestsInFlight()
                            + " ops unanswered, " + clients.openConnections() + " connections");
                    done.countDown();
                }
                default -> {}
            }
        });
    }

    /**
     * Reads the configuration again, under load. Discovery and the descriptors hold from now on; what the module and
     * the listening socket were started with holds until a restart. One that cannot be read changes nothing.
     *
     * <p>Synchronized, since each signal has a thread of its own: an earlier call that reads for longer must not put its older
     * configuration in force behind a later one.
     */
    public synchronized void renew(Path path) {
        ConfigurationFile next;
        try {
            next = ConfigurationFile.read(path);
        } catch (RuntimeException e) {
            log.line("new configuration not taken, all goes on as before: " + e.getMessage());
            return;
        }
        runOnLoop(() -> {
            ConfigurationFile was = file;
            file = next;
            limits.renew(next.sockets());
            boolean kept = next.listen().equals(was.listen())
                    && next.settings()
                            .started()
                            .requestClasses()
                            .equals(was.settings().started().requestClasses());
            log.line("new configuration: discovery at "
                    + next.discovery().getAddress().getHostAddress() + ":"
                    + next.discovery().getPort() + ", " + next.sockets() + " descriptors"
                    + (kept ? "" : "; what else it says needs a restart"));
            discovery.follow(next.discovery());
        });
    }

    /** Asks discovery no more. */
    void unfollow() {
        discovery.stop();
    }

    public void runOnLoop(Runnable what) {
        loop.run(what);
    }
}
