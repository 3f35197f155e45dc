package ploverdale.tools.rig;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import ploverdale.clock.Clock;
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.model.GroupModel;
import ploverdale.tools.model.GroupParameters;
import ploverdale.tools.model.ServerModel.Fault;
import ploverdale.tools.stand.Clients;
import ploverdale.tools.stand.GatewayConfiguration;
import ploverdale.tools.stand.LossyLink;
import ploverdale.tools.stand.TestCluster;

/**
 * A new gateway joins while its replica group has no primary. The initial primary has become unresponsive, and the
 * endpoint list that the new gateway receives still names it. Depending on the seed, the gateway joins before another
 * server becomes primary, after that, or after the former primary has returned as a replica in slow start. Each seed is
 * run with gossip at 0, 30 and 100 % datagram loss, and without gossip.
 */
public final class WarmStart {
    /** Whether gateways exchange gossip, and how many of its datagrams are lost. */
    public enum Gossip {
        NO_LOSS,
        LOSS_30,
        LOSS_100,
        OFF
    }

    /**
     * The result of one run. Requests are those of the new gateway's clients in its first {@link WarmStart#WINDOW_MS}.
     *
     * @param writesToFormerPrimary writes that the new gateway sent to the former primary
     * @param readyAfterMs time from the start of the new gateway until it accepted clients
     * @param datagrams gossip datagrams sent between the gateways
     * @param requests requests of both gateways in the whole run
     * @param changes the changes of the replica group, as text
     */
    record Outcome(
            List<Ledger.Broken> broken,
            int writesToFormerPrimary,
            int writes,
            int writesSucceeded,
            int reads,
            int readsSucceeded,
            Histogram writeLatency,
            Histogram readLatency,
            long readyAfterMs,
            int datagrams,
            int requests,
            String changes) {}

    private static final long MS = 10; // ticks in a millisecond
    private static final long STALENESS_BOUND_MS = 500;
    private static final double REQUESTS_PER_SECOND = 150; // of each gateway
    private static final long WINDOW_MS = 1300; // from the start of the new gateway, not from the moment it is ready
    private static final List<String> SERVERS = List.of("s-morning", "s-second", "s-third");

    /** How much smaller the share of succeeded reads may be with all gossip lost than without gossip. */
    private static final double MAX_SHARE_LOSS = 0.1;

    private WarmStart() {}

    /** Runs each seed with each kind of gossip, at most {@code atATime} runs concurrently. */
    static List<Check> play(long firstSeed, int seeds, int atATime) throws InterruptedException {
        Map<Gossip, List<Outcome>> outcomes = new EnumMap<>(Gossip.class);
        List<Check> checks = new ArrayList<>();
        for (Gossip gossip : Gossip.values()) {
            outcomes.put(gossip, new ArrayList<>());
        }
        ExecutorService pool = Executors.newFixedThreadPool(atATime);
        List<java.util.concurrent.Future<?>> runs = new ArrayList<>();
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            for (Gossip gossip : Gossip.values()) {
                long runSeed = seed;
                runs.add(pool.submit(() -> {
                    Outcome outcome = run(runSeed, gossip);
                    synchronized (outcomes) {
                        outcomes.get(gossip).add(outcome);
                    }
                    return null;
                }));
            }
        }
        for (java.util.concurrent.Future<?> result : runs) {
            try {
                result.get();
            } catch (ExecutionException e) {
                checks.add(new Check("run that ended with an exception", String.valueOf(e.getCause()), false));
            }
        }
        pool.shutdown();
        for (Gossip gossip : Gossip.values()) {
            checks.addAll(checks(gossip, outcomes.get(gossip)));
        }
        double difference =
                successShare(outcomes.get(Gossip.LOSS_100), false) - successShare(outcomes.get(Gossip.OFF), false);
        checks.add(new Check(
                "all gossip lost is not worse than no gossip",
                String.format(Locale.ROOT, "share of succeeded reads %+.3f", difference),
                difference > -MAX_SHARE_LOSS));
        return checks;
    }

    /** Returns the checks and figures of all runs with this kind of gossip. */
    private static List<Check> checks(Gossip gossip, List<Outcome> outcomes) {
        List<Check> checks = new ArrayList<>();
        List<Ledger.Broken> broken =
                outcomes.stream().flatMap(outcome -> outcome.broken().stream()).toList();
        checks.add(new Check(
                gossip + ": no rule broken",
                outcomes.stream().mapToInt(Outcome::requests).sum() + " requests, broken " + broken.size()
                        + (broken.isEmpty() ? "" : ", first " + broken.get(0)),
                broken.isEmpty()));
        int toFormerPrimary =
                outcomes.stream().mapToInt(Outcome::writesToFormerPrimary).sum();
        checks.add(new Check(
                gossip + ": no write to the former primary", toFormerPrimary + " writes", toFormerPrimary == 0));
        Histogram reads = new Histogram(60_000_000, 3);
        Histogram writes = new Histogram(60_000_000, 3);
        outcomes.forEach(outcome -> {
            reads.add(outcome.readLatency());
            writes.add(outcome.writeLatency());
        });
        checks.add(new Check(
                gossip + ": first " + WINDOW_MS + " ms of the new gateway",
                String.format(
                        Locale.ROOT,
                        "succeeded: writes %.0f of %d (mean %.0f ms), reads %.0f of %d (mean %.1f ms, p99 %.1f ms), "
                                + "ready after %.0f ms, %d datagrams",
                        successShare(outcomes, true) * requests(outcomes, true),
                        requests(outcomes, true),
                        writes.getMean() / 1000,
                        successShare(outcomes, false) * requests(outcomes, false),
                        requests(outcomes, false),
                        reads.getMean() / 1000,
                        reads.getValueAtPercentile(99) / 1000.0,
                        outcomes.stream()
                                .mapToLong(Outcome::readyAfterMs)
                                .average()
                                .orElse(0),
                        outcomes.stream().mapToInt(Outcome::datagrams).sum()),
                true));
        return checks;
    }

    private static int requests(List<Outcome> outcomes, boolean writes) {
        return outcomes.stream()
                .mapToInt(outcome -> writes ? outcome.writes() : outcome.reads())
                .sum();
    }

    /** Returns the share of the writes or the reads that succeeded. */
    private static double successShare(List<Outcome> outcomes, boolean writes) {
        int requests = requests(outcomes, writes);
        int succeeded = outcomes.stream()
                .mapToInt(outcome -> writes ? outcome.writesSucceeded() : outcome.readsSucceeded())
                .sum();
        return succeeded / (double) Math.max(1, requests);
    }

    /** Runs one seed and waits for its end. */
    static Outcome run(long seed, Gossip gossip) throws Exception {
        Vertx vertx = Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
        try {
            Promise<Outcome> done = Promise.promise();
            vertx.runOnContext(x -> new Run(vertx, seed, gossip).play().onComplete(done));
            return done.future().toCompletionStage().toCompletableFuture().get(60, TimeUnit.SECONDS);
        } finally {
            vertx.close();
        }
    }

    /** The state of one run, on the event loop of the test doubles. */
    private static final class Run {
        private final Vertx vertx;
        private final Gossip gossip;
        private final SplittableRandom random;
        private final Ledger ledger = new Ledger(500 * MS);
        private final StringBuilder changes = new StringBuilder();
        private final GroupModel model;
        private final TestCluster cluster;
        private final long joinsAfterMs;
        private final long returnsAfterMs;
        private final List<GatewayUnderTest> gateways = new ArrayList<>();
        private final List<Clients> clients = new ArrayList<>();
        private LossyLink link;

        private Run(Vertx vertx, long seed, Gossip gossip) {
            this.vertx = vertx;
            this.gossip = gossip;
            random = new SplittableRandom(seed);
            long detectMs = 200 + random.nextInt(400);
            long electMs = 300 + random.nextInt(900);
            joinsAfterMs = 50 + random.nextInt(1600);
            returnsAfterMs = detectMs + electMs + 200 + random.nextInt(400);
            GroupParameters plan = new GroupParameters(
                    5 * MS,
                    detectMs * MS,
                    electMs * MS,
                    300 * MS,
                    4,
                    8 * MS,
                    0.3,
                    6000 * MS,
                    2.5,
                    1000 * MS,
                    5000 * MS,
                    4);
            model = new GroupModel(
                    plan,
                    random.split(),
                    SERVERS,
                    Clock.system().now(),
                    (now, what) -> changes.append(now / 10 % 100_000)
                            .append(' ')
                            .append(what)
                            .append("; "));
            cluster = new TestCluster(vertx, model, ledger, SERVERS, 1500);
        }

        private Future<Outcome> play() {
            double loss = gossip == Gossip.LOSS_30 ? 0.3 : gossip == Gossip.LOSS_100 ? 1 : 0;
            return cluster.startServers()
                    .compose(x -> LossyLink.open(vertx, random.split(), loss, 2))
                    .compose(opened -> {
                        link = opened;
                        return startGateway(0);
                    })
                    .compose(x -> {
                        clients.get(0).start(REQUESTS_PER_SECOND, 0);
                        return vertx.timer(500, TimeUnit.MILLISECONDS);
                    })
                    .compose(x -> {
                        cluster.injectFault(SERVERS.get(0), Fault.SILENT);
                        vertx.setTimer(returnsAfterMs, y -> cluster.recoverServer(SERVERS.get(0), true));
                        return vertx.timer(joinsAfterMs, TimeUnit.MILLISECONDS);
                    })
                    .compose(x -> startGateway(1))
                    .compose(x -> {
                        clients.get(1)
                                .start(
                                        REQUESTS_PER_SECOND,
                                        WINDOW_MS - gateways.get(1).readyAfterMs());
                        return vertx.timer(1300, TimeUnit.MILLISECONDS);
                    })
                    .compose(x -> {
                        Promise<Void> drained = Promise.promise();
                        clients.get(0).stop(() -> clients.get(1).stop(drained::tryComplete));
                        return drained.future();
                    })
                    .compose(x ->
                            Future.all(gateways.get(0).kill(), gateways.get(1).kill()))
                    .map(x -> {
                        cluster.close();
                        Clients.Tally writes = clients.get(1).tally(true, true);
                        Clients.Tally reads = clients.get(1).tally(false, true);
                        return new Outcome(
                                ledger.close(Long.MAX_VALUE / 4),
                                ledger.writesSent("1", SERVERS.get(0)),
                                writes.requests(),
                                writes.succeeded(),
                                reads.requests(),
                                reads.succeeded(),
                                writes.latency(),
                                reads.latency(),
                                gateways.get(1).readyAfterMs(),
                                link.datagrams(),
                                ledger.requests(),
                                changes.toString());
                    });
        }

        private Future<?> startGateway(int index) {
            return cluster.startDiscovery(Integer.toString(index))
                    .compose(discovery -> {
                        GatewayUnderTest gateway;
                        try {
                            gateway = new GatewayUnderTest(new GatewayConfiguration(
                                    index,
                                    "127.0.0.1:0",
                                    List.of(link.address(0, index), link.address(1, index)),
                                    gossip != Gossip.OFF,
                                    discovery,
                                    cluster.endpointList(true),
                                    random.nextLong(),
                                    STALENESS_BOUND_MS));
                        } catch (IOException e) {
                            return Future.failedFuture(e);
                        }
                        gateways.add(gateway);
                        return gateway.start();
                    })
                    .compose(gateway -> {
                        Promise<Void> onLoop = Promise.promise(); // continues on the event loop of the test doubles
                        vertx.runOnContext(x -> {
                            clients.add(new Clients(
                                    vertx,
                                    ledger,
                                    random.split(),
                                    Integer.toString(index),
                                    ((GatewayUnderTest) gateway).port(),
                                    STALENESS_BOUND_MS * MS));
                            onLoop.complete();
                        });
                        return onLoop.future();
                    });
        }
    }
}
