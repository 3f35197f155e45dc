package ploverdale.tools.fleet;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.net.InetAddress;
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
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.model.GroupModel;
import ploverdale.tools.model.Plan;
import ploverdale.tools.model.ServerModel.Fault;
import ploverdale.tools.stand.Clients;
import ploverdale.tools.stand.GatewayConfiguration;
import ploverdale.tools.stand.LossyLink;
import ploverdale.tools.stand.ReconnectingClients;
import ploverdale.tools.stand.TestCluster;

/**
 * Plays one day: gateways as processes among stand-in servers, discovery and clients, with a way of its own between any
 * two, the ledger of the rules beside it, and all that anyone logs on one clock. What happens is the script's.
 */
public final class Fleet {
    /** The database servers, one group; the first is the morning's primary. */
    public static final List<String> SERVERS = List.of("s-morning", "s-second", "s-third");

    private static final long MS = 10;
    private static final long SHIP_MS = 5; // of the log, to replicas
    private static final long SHIP_ROAMING_MS = 60; // longer than from a session's write to its next read
    private static final long BOUND_MS = 500;
    private static final long DRAIN_GRACE_MS = 500;
    private static final long LIST_LATE_MS = 700;
    private static final long LAST_ANSWERS_MS = 4000;
    private static final long ALL_START_WITHIN_S = 60;

    private final Vertx vertx;
    private final FaultSchedule day;
    private final Workload shape;
    private final SplittableRandom random;
    private final Ledger ledger = new Ledger(DRAIN_GRACE_MS * MS);
    private final TestCluster world;
    private final List<GatewayProcess> gateways = new ArrayList<>();
    private final List<Integer> listens = new ArrayList<>();
    private final List<Clients> clients = new ArrayList<>();
    private final List<Integer> discoveries = new ArrayList<>();
    private final Map<String, FaultyLink> ways = new LinkedHashMap<>(); // by gateway and other end
    private final Map<String, Boolean> cutOff = new HashMap<>(); // from discovery
    private final List<Long> startsMs = Collections.synchronizedList(new ArrayList<>());
    private final List<String> log = Collections.synchronizedList(new ArrayList<>());
    private final long began = System.nanoTime();
    private final DiscoveryAgents agents;
    private LossyLink link;
    private ReconnectingClients roamers;

    private Fleet(Vertx vertx, FaultSchedule day, Workload shape) {
        this.vertx = vertx;
        this.day = day;
        this.shape = shape;
        random = new SplittableRandom(day.seed());
        Plan plan = new Plan(
                (shape.roams() == null ? SHIP_MS : SHIP_ROAMING_MS) * MS,
                300 * MS,
                600 * MS,
                300 * MS,
                4,
                8 * MS,
                0.3,
                6000 * MS,
                2.5,
                1000 * MS,
                5000 * MS,
                4);
        GroupModel model =
                new GroupModel(plan, random.split(), SERVERS, Clock.system().now(), (now, what) -> note("world", what));
        world = new TestCluster(vertx, model, ledger, SERVERS, LIST_LATE_MS);
        world.setRequestListener(shape.traffic());
        world.setDiscoveryReachable(g -> !cutOff.getOrDefault(g, false));
        agents = new DiscoveryAgents(vertx, world, ledger);
    }

    /** Plays a day; waits for its end. */
    public static FleetResult play(FaultSchedule day, Workload shape) throws Exception {
        Vertx vertx = Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
        List<GatewayProcess> started = Collections.synchronizedList(new ArrayList<>());
        try {
            Promise<FleetResult> done = Promise.promise();
            vertx.runOnContext(x -> {
                Fleet fleet = new Fleet(vertx, day, shape);
                fleet.play(started).onComplete(done);
            });
            return done.future()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(ALL_START_WITHIN_S + (day.lastsMs() + shape.settlesMs()) / 1000 + 30, TimeUnit.SECONDS);
        } finally {
            for (GatewayProcess p : List.copyOf(started)) {
                p.kill().get();
            }
            vertx.close().toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
        }
    }

    private void note(String who, String what) {
        log.add(String.format(Locale.ROOT, "%9.3f %s %s", (System.nanoTime() - began) / 1e9, who, what));
    }

    private Future<FleetResult> play(List<GatewayProcess> started) {
        Future<?> ready = world.startServers()
                .compose(x -> LossyLink.open(vertx, random.split(), 0, day.gateways()))
                .onSuccess(l -> link = l);
        for (int i = 0; i < day.gateways(); i++) {
            int me = i;
            ready = ready.compose(x -> prepare(me));
        }
        return ready.compose(x -> {
                    List<Future<?>> ups = new ArrayList<>();
                    for (int i = 0; i < day.gateways(); i++) {
                        started.add(gateways.get(i));
                        ups.add(up(i));
                    }
                    return Future.all(ups);
                })
                .compose(x -> vertx.timer(Math.max(1, shape.settlesMs()), TimeUnit.MILLISECONDS))
                .compose(x -> {
                    for (int i = 0; i < clients.size(); i++) {
                        clients.get(i).start(shape.requestsPerSecond().get(i), 0);
                    }
                    if (shape.roams() != null) {
                        List<Integer> ports = new ArrayList<>();
                        for (int i = 0; i < day.gateways(); i++) {
                            ports.add(ways.get("n" + i + " clients").port());
                        }
                        roamers = new ReconnectingClients(vertx, ledger, random.split(), ports, shape.roams());
                        roamers.start();
                    }
                    for (Step s : day.steps()) {
                        vertx.setTimer(Math.max(1, s.atMs()), y -> happens(s));
                    }
                    return vertx.timer(day.lastsMs(), TimeUnit.MILLISECONDS);
                })
                .compose(x -> {
                    ways.values().forEach(FaultyLink::heal);
                    if (roamers != null) {
                        roamers.stop();
                    }
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
                .compose(x -> Future.all(gateways.stream()
                        .map(g -> Future.fromCompletionStage(g.kill(), vertx.getOrCreateContext()))
                        .toList()))
                .map(x -> shown());
    }

    private FleetResult shown() {
        world.close();
        ways.values().forEach(FaultyLink::close);
        link.close();
        int[] sums = new int[4];
        Histogram late = new Histogram(Clients.MAX_LATENCY_US, 3);
        for (Clients c : clients) {
            late.add(c.lateness());
            sums[0] += c.tally(false, false).requests();
            sums[1] += c.tally(false, false).succeeded();
            sums[2] += c.tally(true, false).requests();
            sums[3] += c.tally(true, false).succeeded();
        }
        List<Ledger.Broken> broken = ledger.close(Clock.system().now());
        broken.forEach(b -> note("ledger", b.toString()));
        return new FleetResult(
                day,
                broken,
                ledger.requests(),
                sums[0],
                sums[1],
                sums[2],
                sums[3],
                List.copyOf(startsMs),
                List.copyOf(log),
                roamers,
                late);
    }

    private Future<?> prepare(int me) {
        String name = "n" + me;
        gateways.add(new GatewayProcess(name, shape.launch(), this::note));
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(link.host(me)))) {
            listens.add(free.getLocalPort());
        } catch (IOException e) {
            return Future.failedFuture(e);
        }
        Future<?> all = way(me, "clients", link.host(me), listens.get(me))
                .onSuccess(w -> {
                    Clients c =
                            new Clients(vertx, ledger, random.split(), Integer.toString(me), w.port(), BOUND_MS * MS);
                    c.setGatewayAlive(() -> gateways.get(me).alive());
                    c.setConnectionPoolSize(shape.crowd().connections());
                    clients.add(c);
                })
                .compose(x -> shape.ownAgents() ? agents.open(Integer.toString(me)) : discovery(me));
        for (String s : SERVERS) {
            all = all.compose(x -> way(me, s, "127.0.0.1", world.port(s)))
                    .onSuccess(w -> world.setServerPort(Integer.toString(me), s, ((FaultyLink) w).port()));
        }
        return all;
    }

    private Future<Void> discovery(int me) {
        return world.startDiscovery(Integer.toString(me))
                .compose(port -> way(me, "discovery", "127.0.0.1", port))
                .onSuccess(w -> discoveries.add(w.port()))
                .mapEmpty();
    }

    private Future<FaultyLink> way(int me, String end, String host, int port) {
        return FaultyLink.open(vertx, host, port).onSuccess(w -> ways.put("n" + me + " " + end, w));
    }

    private GatewayConfiguration configuration(int me) {
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < day.gateways(); i++) {
            peers.add(link.address(i, me));
        }
        String name = Integer.toString(me);
        return new GatewayConfiguration(
                me,
                link.host(me) + ":" + listens.get(me),
                peers,
                day.gateways() > 1,
                shape.ownAgents() ? agents.port(name) : discoveries.get(me),
                shape.ownAgents() ? agents.firstList(name) : world.endpointList(name, true),
                random.nextLong(),
                BOUND_MS,
                shape.crowd().descriptors());
    }

    /** Starts a gateway, also again, once an earlier process of its name has ended. */
    private Future<Void> up(int me) {
        GatewayProcess g = gateways.get(me);
        long from = System.nanoTime();
        return Future.fromCompletionStage(g.ended(), vertx.getOrCreateContext())
                .compose(x -> start(me, g))
                .onSuccess(x -> {
                    startsMs.add((System.nanoTime() - from) / 1_000_000);
                    ledger.answersAgain(Integer.toString(me), Clock.system().now());
                });
    }

    private Future<Void> start(int me, GatewayProcess g) {
        GatewayConfiguration told = configuration(me);
        if (shape.ownAgents()) {
            agents.processStarts(Integer.toString(me));
        }
        try {
            return Future.fromCompletionStage(g.start(told.json()), vertx.getOrCreateContext());
        } catch (IOException e) {
            return Future.failedFuture(e);
        }
    }

    private void happens(Step s) {
        note("script", s.toString());
        try {
            List<String> w = s.words();
            int me = w.get(0).startsWith("n") ? Integer.parseInt(w.get(0).substring(1)) : -1;
            switch (s.what()) {
                case KILL -> {
                    ledger.excused(Integer.toString(me), Clock.system().now());
                    gateways.get(me).kill();
                }
                case START -> up(me).onFailure(e -> note("script", "start fails: " + e.getMessage()));
                case STOP -> {
                    ledger.paused(Integer.toString(me), Clock.system().now());
                    gateways.get(me).stop();
                }
                case GO_ON -> {
                    gateways.get(me).goOn();
                    ledger.answersAgain(Integer.toString(me), Clock.system().now());
                }
                case LEAVE -> gateways.get(me).term();
                case WAY -> way(me, w.get(1), w.get(2));
                case WORDS -> link.setConditions(me, Integer.parseInt(w.get(1).substring(1)), weather(w.get(2)));
                case SERVER -> server(w.get(0), w.get(1));
                case AGENT -> agents.behave(Integer.toString(me), w.get(1), w.get(2));
                case HANG_UP -> {
                    agents.follow(Integer.toString(me), w.get(1));
                    gateways.get(me).hangUp(configuration(me).json());
                }
                default -> throw new IllegalStateException(s.toString());
            }
        } catch (IOException | InterruptedException | RuntimeException e) {
            note("script", "cannot: " + e);
        }
    }

    private void way(int me, String end, String what) {
        FaultyLink way = ways.get("n" + me + " " + end);
        if (end.equals("discovery")) {
            cutOff.put(Integer.toString(me), !what.equals("OPEN"));
        }
        if (end.equals("clients") && !what.equals("OPEN")) {
            ledger.excused(Integer.toString(me), Clock.system().now());
        } else if (end.equals("clients")) {
            ledger.answersAgain(Integer.toString(me), Clock.system().now());
        }
        if (what.startsWith("delay:")) {
            way.delay(Long.parseLong(what.substring(6)));
        } else if (what.startsWith("bytes:")) {
            way.throttle(Integer.parseInt(what.substring(6)));
        } else if (what.equals("reset")) {
            way.reset();
        } else if (what.equals("OPEN")) {
            way.heal();
        } else {
            way.state(FaultyLink.State.valueOf(what));
        }
    }

    private static LossyLink.Conditions weather(String word) {
        double figure = word.equals("usual") ? 0 : Double.parseDouble(word.substring(word.indexOf(':') + 1));
        return word.equals("usual")
                ? null
                : word.startsWith("loss:")
                        ? LossyLink.Conditions.withLoss(figure)
                        : word.startsWith("twice:")
                                ? new LossyLink.Conditions(0, figure, 20)
                                : new LossyLink.Conditions(0, 0.05, (int) figure);
    }

    private void server(String id, String what) {
        switch (what) {
            case "heals" -> world.recoverServer(id, false);
            case "restarts" -> world.recoverServer(id, true);
            case "drains" -> world.drainServer(id);
            case "removes" -> world.removeServer(id);
            case "returns" -> world.relistServer(id);
            default -> world.injectFault(id, Fault.valueOf(what));
        }
    }
}
