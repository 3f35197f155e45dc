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
 * A new instance joins while its group is without a primary: the morning's primary has gone silent, and the list that the
 * new one is given still names it. By the seed it joins before another takes over, after that, or after the old one is back
 * as a cold replica. With words between instances at losses of none, 30 and 100 %, and without words.
 */
public final class WarmStart {
    /** How instances talk. */
    public enum Words {
        NO_LOSS,
        LOSS_30,
        LOSS_100,
        OFF
    }

    /** What one run showed. */
    record Outcome(
            List<Ledger.Broken> broken,
            int writesToOld,
            int writesAsked,
            int writesAcked,
            int readsAsked,
            int readsAcked,
            Histogram writeLatency,
            Histogram readLatency,
            long readyAfterMs,
            int datagrams,
            int requests,
            String changes) {}

    private static final long MS = 10;
    private static final long BOUND_MS = 500;
    private static final double RATE = 150;
    private static final long WINDOW_MS = 1300; // from the start of the new instance; the same however soon it is ready
    private static final List<String> IDS = List.of("s-morning", "s-second", "s-third");
    private static final double NOT_WORSE_BY = 0.1; // of the first second's acked, lost to all words lost

    private WarmStart() {}

    /** Plays each seed in each way; at most so many runs at a time. */
    static List<Check> play(long firstSeed, int seeds, int atATime) throws InterruptedException {
        Map<Words, List<Outcome>> all = new EnumMap<>(Words.class);
        List<Check> checks = new ArrayList<>();
        for (Words w : Words.values()) {
            all.put(w, new ArrayList<>());
        }
        ExecutorService pool = Executors.newFixedThreadPool(atATime);
        List<java.util.concurrent.Future<?>> runs = new ArrayList<>();
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            for (Words w : Words.values()) {
                long s = seed;
                runs.add(pool.submit(() -> {
                    Outcome o = run(s, w);
                    synchronized (all) {
                        all.get(w).add(o);
                    }
                    return null;
                }));
            }
        }
        for (java.util.concurrent.Future<?> r : runs) {
            try {
                r.get();
            } catch (ExecutionException e) {
                checks.add(new Check("a run that failed", String.valueOf(e.getCause()), false));
            }
        }
        pool.shutdown();
        for (Words w : Words.values()) {
            checks.addAll(checks(w, all.get(w)));
        }
        double lost = share(all.get(Words.LOSS_100), false) - share(all.get(Words.OFF), false);
        checks.add(new Check(
                "all words lost is not worse than none",
                String.format(Locale.ROOT, "share of reads acked %+.3f", lost),
                lost > -NOT_WORSE_BY));
        return checks;
    }

    /** What holds of all runs with these words, and their figures. */
    private static List<Check> checks(Words w, List<Outcome> os) {
        List<Check> checks = new ArrayList<>();
        List<Ledger.Broken> broken =
                os.stream().flatMap(o -> o.broken().stream()).toList();
        checks.add(new Check(
                w + ": no rule broken",
                os.stream().mapToInt(Outcome::requests).sum() + " ops, broken " + broken.size()
                        + (broken.isEmpty() ? "" : ", first " + broken.get(0)),
                broken.isEmpty()));
        int old = os.stream().mapToInt(Outcome::writesToOld).sum();
        checks.add(new Check(w + ": no write to the old primary", old + " writes", old == 0));
        Histogram reads = new Histogram(60_000_000, 3);
        Histogram writes = new Histogram(60_000_000, 3);
        os.forEach(o -> {
            reads.add(o.readLatency());
            writes.add(o.writeLatency());
        });
        checks.add(new Check(
                w + ": first " + WINDOW_MS + " ms of the new instance",
                String.format(
                        Locale.ROOT,
                        "writes acked %.0f of %d (mean %.0f ms), reads acked %.0f of %d (mean %.1f ms, p99 %.1f ms), "
                                + "ready after %.0f ms, %d datagrams",
                        share(os, true) * asked(os, true),
                        asked(os, true),
                        writes.getMean() / 1000,
                        share(os, false) * asked(os, false),
                        asked(os, false),
                        reads.getMean() / 1000,
                        reads.getValueAtPercentile(99) / 1000.0,
                        os.stream().mapToLong(Outcome::readyAfterMs).average().orElse(0),
                        os.stream().mapToInt(Outcome::datagrams).sum()),
                true));
        return checks;
    }

    private static int asked(List<Outcome> os, boolean writes) {
        return os.stream()
                .mapToInt(o -> writes ? o.writesAsked() : o.readsAsked())
                .sum();
    }

    private static double share(List<Outcome> os, boolean writes) {
        int asked = asked(os, writes);
        int acked = os.stream()
                .mapToInt(o -> writes ? o.writesAcked() : o.readsAcked())
                .sum();
        return acked / (double) Math.max(1, asked);
    }

    /** One run; waits for its end. */
    static Outcome run(long seed, Words words) throws Exception {
        Vertx vertx = Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
        try {
            Promise<Outcome> done = Promise.promise();
            vertx.runOnContext(x -> new Run(vertx, seed, words).play().onComplete(done));
            return done.future().toCompletionStage().toCompletableFuture().get(60, TimeUnit.SECONDS);
        } finally {
            vertx.close();
        }
    }

    private static final class Run {
        private final Vertx vertx;
        private final Words words;
        private final SplittableRandom random;
        private final Ledger ledger = new Ledger(500 * MS);
        private final StringBuilder changes = new StringBuilder();
        private final GroupModel model;
        private final TestCluster world;
        private final long joinsAfterMs;
        private final long backAfterMs;
        private final List<GatewayUnderTest> gateways = new ArrayList<>();
        private final List<Clients> clients = new ArrayList<>();
        private LossyLink link;

        private Run(Vertx vertx, long seed, Words words) {
            this.vertx = vertx;
            this.words = words;
            random = new SplittableRandom(seed);
            long detect = 200 + random.nextInt(400);
            long elect = 300 + random.nextInt(900);
            joinsAfterMs = 50 + random.nextInt(1600);
            backAfterMs = detect + elect + 200 + random.nextInt(400);
            GroupParameters plan = new GroupParameters(
                    5 * MS, detect * MS, elect * MS, 300 * MS, 4, 8 * MS, 0.3, 6000 * MS, 2.5, 1000 * MS, 5000 * MS, 4);
            model = new GroupModel(
                    plan,
                    random.split(),
                    IDS,
                    Clock.system().now(),
                    (now, what) -> changes.append(now / 10 % 100_000)
                            .append(' ')
                            .append(what)
                            .append("; "));
            world = new TestCluster(vertx, model, ledger, IDS, 1500);
        }

        private Future<Outcome> play() {
            double loss = words == Words.LOSS_30 ? 0.3 : words == Words.LOSS_100 ? 1 : 0;
            return world.servers()
                    .compose(x -> LossyLink.open(vertx, random.split(), loss, 2))
                    .compose(l -> {
                        link = l;
                        return gateway(0);
                    })
                    .compose(x -> {
                        clients.get(0).start(RATE, 0);
                        return vertx.timer(500, TimeUnit.MILLISECONDS);
                    })
                    .compose(x -> {
                        world.fault(IDS.get(0), Fault.SILENT);
                        vertx.setTimer(backAfterMs, y -> world.heals(IDS.get(0), true));
                        return vertx.timer(joinsAfterMs, TimeUnit.MILLISECONDS);
                    })
                    .compose(x -> gateway(1))
                    .compose(x -> {
                        clients.get(1).start(RATE, WINDOW_MS - gateways.get(1).readyAfterMs());
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
                        world.close();
                        Clients.Tally w = clients.get(1).tally(true, true);
                        Clients.Tally r = clients.get(1).tally(false, true);
                        return new Outcome(
                                ledger.close(Long.MAX_VALUE / 4),
                                ledger.writesSent("1", IDS.get(0)),
                                w.asked(),
                                w.acked(),
                                r.asked(),
                                r.acked(),
                                w.latency(),
                                r.latency(),
                                gateways.get(1).readyAfterMs(),
                                link.carried(),
                                ledger.requests(),
                                changes.toString());
                    });
        }

        private Future<?> gateway(int me) {
            return world.discovery(Integer.toString(me))
                    .compose(discovery -> {
                        GatewayUnderTest g;
                        try {
                            g = new GatewayUnderTest(new GatewayConfiguration(
                                    me,
                                    "127.0.0.1:0",
                                    List.of(link.address(0, me), link.address(1, me)),
                                    words != Words.OFF,
                                    discovery,
                                    world.list(true),
                                    random.nextLong(),
                                    BOUND_MS));
                        } catch (IOException e) {
                            return Future.failedFuture(e);
                        }
                        gateways.add(g);
                        return g.start();
                    })
                    .compose(g -> {
                        Promise<Void> here = Promise.promise(); // back on the event loop of the stand-ins
                        vertx.runOnContext(x -> {
                            clients.add(new Clients(
                                    vertx,
                                    ledger,
                                    random.split(),
                                    Integer.toString(me),
                                    ((GatewayUnderTest) g).port(),
                                    BOUND_MS * MS));
                            here.complete();
                        });
                        return here.future();
                    });
        }
    }
}
