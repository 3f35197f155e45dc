package ploverdale.tools.fleet;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import ploverdale.clock.Clock;
import ploverdale.tools.fleet.FaultSchedule.Step;
import ploverdale.tools.ledger.FloodLedger;
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.model.GroupModel;
import ploverdale.tools.model.GroupParameters;
import ploverdale.tools.model.ServerModel.Fault;
import ploverdale.tools.stand.BackgroundClients;
import ploverdale.tools.stand.Clients;
import ploverdale.tools.stand.FloodClients;
import ploverdale.tools.stand.GatewayConfiguration;
import ploverdale.tools.stand.LossyLink;
import ploverdale.tools.stand.ReconnectingClients;
import ploverdale.tools.stand.TestCluster;

/**
 * Runs one fault schedule: gateway processes between fake servers, discovery agents and clients, with a separate link
 * between any two parties. The ledger records every request, and all log lines carry times of one clock.
 */
public final class Fleet {
    /** The database servers of the one replica group; the first is the primary at the beginning of a run. */
    public static final List<String> SERVERS = List.of("s-morning", "s-second", "s-third");

    private static final long MS = 10; // ticks (a tenth of a millisecond) per millisecond

    private static final long REPLICATION_DELAY_MS = 5;

    /** Longer than from a session's write to its next read, so that replicas lack the write by then. */
    private static final long REPLICATION_DELAY_RECONNECTING_MS = 60;

    private static final long STALENESS_BOUND_MS = 500;
    private static final long DRAIN_GRACE_MS = 500;

    /** The time from a change of a server to its change in the endpoint list. */
    private static final long LIST_DELAY_MS = 700;

    /** How long the last answers are awaited after the clients have stopped. */
    private static final long LAST_ANSWERS_MS = 4000;

    /** The time limit for the start of all gateways. */
    private static final long START_TIMEOUT_S = 60;

    private final Vertx vertx;
    private final FaultSchedule schedule;
    private final Workload workload;
    private final SplittableRandom random;
    private final Ledger ledger = new Ledger(DRAIN_GRACE_MS * MS);
    private final FloodLedger floodLedger = new FloodLedger();
    private final FloodClients floods = new FloodClients(floodLedger);
    private final TestCluster cluster;
    private final List<GatewayProcess> gateways = new ArrayList<>();
    private final List<Integer> listenPorts = new ArrayList<>();
    private final List<Clients> clients = new ArrayList<>();
    private final List<Integer> discoveryPorts = new ArrayList<>();
    private final Map<String, FaultyLink> links = new LinkedHashMap<>(); // by gateway and other end, e.g. "n0 clients"
    private final Map<String, Boolean> cutOffFromDiscovery = new HashMap<>(); // by gateway
    private final List<Long> startDurationsMs = Collections.synchronizedList(new ArrayList<>());
    private final List<String> log = Collections.synchronizedList(new ArrayList<>());
    private final long startedAtNs = System.nanoTime();
    private final DiscoveryAgents agents;
    private final HangUps hangUps;
    private LossyLink peerLink; // carries the datagrams between gateways
    private final List<BackgroundClients> backgroundClients = new ArrayList<>();
    private ReconnectingClients reconnectingClients;
    private long peakMemoryKb; // the highest of all gateways

    private Fleet(Vertx vertx, FaultSchedule schedule, Workload workload) {
        this.vertx = vertx;
        this.schedule = schedule;
        this.workload = workload;
        random = new SplittableRandom(schedule.seed());
        boolean hasSessions = workload.reconnectingClients() != null;
        GroupParameters parameters = GroupParameters.withReplicationDelay(
                hasSessions ? REPLICATION_DELAY_RECONNECTING_MS : REPLICATION_DELAY_MS);
        GroupModel model = new GroupModel(
                parameters, random.split(), SERVERS, Clock.system().now(), (now, what) -> note("cluster", what));
        cluster = new TestCluster(vertx, model, ledger, SERVERS, LIST_DELAY_MS);
        cluster.setRequestListener(this::onRequest);
        cluster.setDiscoveryReachable(g -> !cutOffFromDiscovery.getOrDefault(g, false));
        agents = new DiscoveryAgents(vertx, cluster, ledger);
        hangUps =
                new HangUps(vertx, gateways, agents, number -> settings(number).json(), this::note);
    }

    private void onRequest(String request, String server, long now, boolean started) {
        workload.traffic().onRequest(request, server, now, started);
        if (started && FloodLedger.isFloodRequest(request)) {
            floodLedger.attemptReceived(request, now);
        }
    }

    /** Runs a schedule and waits for its end. Kills the gateways that it started, also if it fails. */
    public static FleetResult run(FaultSchedule schedule, Workload workload) throws Exception {
        Vertx vertx = Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
        List<GatewayProcess> started = Collections.synchronizedList(new ArrayList<>());
        try {
            Promise<FleetResult> done = Promise.promise();
            vertx.runOnContext(x -> {
                Fleet fleet = new Fleet(vertx, schedule, workload);
                fleet.execute(started).onComplete(done);
            });
            return done.future()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(START_TIMEOUT_S + (schedule.lastsMs() + workload.settleMs()) / 1000 + 30, TimeUnit.SECONDS);
        } finally {
            for (GatewayProcess process : List.copyOf(started)) {
                process.kill().get();
            }
            vertx.close().toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
        }
    }

    private void note(String who, String what) {
        log.add(String.format(Locale.ROOT, "%9.3f %s %s", (System.nanoTime() - startedAtNs) / 1e9, who, what));
    }

    /** @param started receives the gateways that may have a process, for the clean-up */
    private Future<FleetResult> execute(List<GatewayProcess> started) {
        Future<?> ready = cluster.startServers()
                .compose(x -> LossyLink.open(vertx, random.split(), 0, schedule.gateways()))
                .onSuccess(opened -> peerLink = opened);
        for (int i = 0; i < schedule.gateways(); i++) {
            int number = i;
            ready = ready.compose(x -> prepare(number));
        }
        return ready.compose(x -> {
                    List<Future<?>> serving = new ArrayList<>();
                    for (int i = 0; i < schedule.gateways(); i++) {
                        started.add(gateways.get(i));
                        serving.add(startWhenEnded(i));
                    }
                    return Future.all(serving);
                })
                .compose(x -> vertx.timer(Math.max(1, workload.settleMs()), TimeUnit.MILLISECONDS))
                .compose(x -> {
                    for (int i = 0; i < clients.size(); i++) {
                        clients.get(i).start(workload.requestsPerSecond().get(i), 0);
                    }
                    startBackgroundClients();
                    for (Step s : schedule.steps()) {
                        vertx.setTimer(Math.max(1, s.atMs()), y -> apply(s));
                    }
                    return vertx.timer(schedule.lastsMs(), TimeUnit.MILLISECONDS);
                })
                .compose(x -> {
                    links.values().forEach(FaultyLink::heal);
                    backgroundClients.forEach(BackgroundClients::stop);
                    Promise<Void> answered = Promise.promise();
                    int[] left = {clients.size()};
                    clients.forEach(c -> c.stop(() -> {
                        if (--left[0] == 0) {
                            answered.tryComplete();
                        }
                    }));
                    vertx.setTimer(LAST_ANSWERS_MS, y -> answered.tryComplete());
                    return answered.future();
                })
                .onComplete(x -> gateways.forEach(g -> peakMemoryKb = Math.max(peakMemoryKb, g.peakMemoryKb())))
                .compose(x -> Future.all(gateways.stream()
                        .map(g -> Future.fromCompletionStage(g.kill(), vertx.getOrCreateContext()))
                        .toList()))
                .map(x -> result());
    }

    private void startBackgroundClients() {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < schedule.gateways(); i++) {
            ports.add(links.get("n" + i + " clients").port());
        }
        if (workload.reconnectingClients() != null) {
            reconnectingClients =
                    new ReconnectingClients(vertx, ledger, random.split(), ports, workload.reconnectingClients());
            backgroundClients.add(reconnectingClients);
        }
        workload.background()
                .forEach(factory -> backgroundClients.add(factory.create(vertx, ledger, random.split(), ports)));
        backgroundClients.forEach(BackgroundClients::start);
    }

    private FleetResult result() {
        cluster.close();
        links.values().forEach(FaultyLink::close);
        peerLink.close();
        int[] sums = new int[4]; // reads sent and succeeded, writes sent and succeeded
        Histogram lateness = new Histogram(Clients.MAX_LATENCY_US, 3);
        for (Clients c : clients) {
            lateness.add(c.lateness());
            sums[0] += c.tally(false, false).requests();
            sums[1] += c.tally(false, false).succeeded();
            sums[2] += c.tally(true, false).requests();
            sums[3] += c.tally(true, false).succeeded();
        }
        List<Ledger.Broken> broken = new ArrayList<>(ledger.close(Clock.system().now()));
        broken.addAll(floodLedger.broken());
        gateways.forEach(gateway -> broken.addAll(gateway.crashes()));
        broken.forEach(b -> note("ledger", b.toString()));
        return new FleetResult(
                schedule,
                broken,
                ledger.requests(),
                sums[0],
                sums[1],
                sums[2],
                sums[3],
                List.copyOf(startDurationsMs),
                List.copyOf(log),
                reconnectingClients,
                lateness,
                peakMemoryKb / 1024);
    }

    /** Opens the links of a gateway and creates its clients and its process, which is not started yet. */
    private Future<?> prepare(int number) {
        String name = "n" + number;
        gateways.add(new GatewayProcess(name, workload.launch(), this::note));
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(peerLink.host(number)))) {
            listenPorts.add(free.getLocalPort());
        } catch (IOException e) {
            return Future.failedFuture(e);
        }
        Future<?> opened = openLink(number, "clients", peerLink.host(number), listenPorts.get(number))
                .onSuccess(link -> {
                    Clients c = new Clients(
                            vertx,
                            ledger,
                            random.split(),
                            Integer.toString(number),
                            link.port(),
                            STALENESS_BOUND_MS * MS);
                    c.setGatewayAlive(() -> gateways.get(number).alive());
                    c.setConnectionPoolSize(workload.connectionLoad().connections());
                    clients.add(c);
                })
                .compose(x -> workload.ownAgents() ? agents.open(Integer.toString(number)) : openDiscovery(number));
        for (String server : SERVERS) {
            opened = opened.compose(x -> openLink(number, server, "127.0.0.1", cluster.port(server)))
                    .onSuccess(link ->
                            cluster.setServerPort(Integer.toString(number), server, ((FaultyLink) link).port()));
        }
        return opened;
    }

    private Future<Void> openDiscovery(int number) {
        return cluster.startDiscovery(Integer.toString(number))
                .compose(port -> openLink(number, "discovery", "127.0.0.1", port))
                .onSuccess(link -> discoveryPorts.add(link.port()))
                .mapEmpty();
    }

    private Future<FaultyLink> openLink(int number, String end, String host, int port) {
        return FaultyLink.open(vertx, host, port).onSuccess(link -> links.put("n" + number + " " + end, link));
    }

    private GatewayConfiguration settings(int number) {
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < schedule.gateways(); i++) {
            peers.add(peerLink.address(i, number));
        }
        String name = Integer.toString(number);
        return new GatewayConfiguration(
                number,
                peerLink.host(number) + ":" + listenPorts.get(number),
                peers,
                schedule.gateways() > 1,
                workload.ownAgents() ? agents.port(name) : discoveryPorts.get(number),
                workload.ownAgents() ? agents.firstList(name) : cluster.endpointList(name, true),
                random.nextLong(),
                STALENESS_BOUND_MS,
                workload.connectionLoad().descriptors());
    }

    /** Starts a gateway once an earlier process of its name has ended; completes when it serves clients. */
    private Future<Void> startWhenEnded(int number) {
        GatewayProcess gateway = gateways.get(number);
        long requestedAtNs = System.nanoTime();
        return Future.fromCompletionStage(gateway.ended(), vertx.getOrCreateContext())
                .compose(x -> start(number, gateway))
                .onSuccess(x -> {
                    startDurationsMs.add((System.nanoTime() - requestedAtNs) / 1_000_000);
                    ledger.availableAgain(
                            Integer.toString(number), Clock.system().now());
                });
    }

    private Future<Void> start(int number, GatewayProcess gateway) {
        GatewayConfiguration settings = settings(number);
        if (workload.ownAgents()) {
            agents.processStarts(Integer.toString(number));
        }
        try {
            return Future.fromCompletionStage(gateway.start(settings.json()), vertx.getOrCreateContext());
        } catch (IOException e) {
            return Future.failedFuture(e);
        }
    }

    /** Carries out a step; a step that fails is logged and does not end the run. */
    private void apply(Step s) {
        note("schedule", s.toString());
        try {
            List<String> arguments = s.arguments();
            int number = arguments.get(0).startsWith("n")
                    ? Integer.parseInt(arguments.get(0).substring(1))
                    : -1;
            String name = Integer.toString(number);
            switch (s.action()) {
                case KILL -> {
                    ledger.unavailable(name, Clock.system().now());
                    gateways.get(number).kill();
                }
                case START ->
                    startWhenEnded(number).onFailure(e -> note("schedule", "start failed: " + e.getMessage()));
                case STOP -> {
                    ledger.paused(name, Clock.system().now());
                    gateways.get(number).pause();
                }
                case GO_ON -> {
                    gateways.get(number).resume();
                    ledger.availableAgain(name, Clock.system().now());
                }
                case LEAVE -> gateways.get(number).terminate();
                case WAY -> changeLink(number, arguments.get(1), arguments.get(2));
                case WORDS ->
                    peerLink.setConditions(
                            number,
                            Integer.parseInt(arguments.get(1).substring(1)),
                            LossyLink.Conditions.parse(arguments.get(2)));
                case SERVER -> changeServer(arguments.get(0), arguments.get(1));
                case AGENT -> agents.change(name, arguments.get(1), arguments.get(2));
                case FLOOD -> {
                    InetSocketAddress address = new InetSocketAddress(peerLink.host(number), listenPorts.get(number));
                    floods.start(FloodClients.Flood.parse(arguments), address, random.nextLong());
                }
                case HANG_UP -> hangUps.add(number, arguments.get(1));
                default -> throw new IllegalStateException(s.toString());
            }
        } catch (IOException | InterruptedException | RuntimeException e) {
            note("schedule", "step failed: " + e);
        }
    }

    private void changeLink(int number, String end, String change) {
        FaultyLink link = links.get("n" + number + " " + end);
        if (end.equals("discovery")) {
            cutOffFromDiscovery.put(Integer.toString(number), !change.equals("OPEN"));
        }
        if (end.equals("clients") && !change.equals("OPEN")) {
            ledger.unavailable(Integer.toString(number), Clock.system().now());
        } else if (end.equals("clients")) {
            ledger.availableAgain(Integer.toString(number), Clock.system().now());
        }
        if (change.startsWith("delay:")) {
            link.delay(Long.parseLong(change.substring(6)));
        } else if (change.startsWith("late:")) {
            link.delayAnswers(Double.parseDouble(change.substring(5)), random.split());
        } else if (change.startsWith("bytes:")) {
            link.throttle(Integer.parseInt(change.substring(6)));
        } else if (change.equals("reset")) {
            link.reset();
        } else if (change.equals("OPEN")) {
            link.heal();
        } else {
            link.setState(FaultyLink.State.valueOf(change));
        }
    }

    private void changeServer(String id, String change) {
        switch (change) {
            case "heals" -> cluster.recoverServer(id, false);
            case "restarts" -> cluster.recoverServer(id, true);
            case "drains" -> cluster.drainServer(id);
            case "removes" -> cluster.removeServer(id);
            case "returns" -> cluster.relistServer(id);
            default -> cluster.injectFault(id, Fault.valueOf(change));
        }
    }
}
