package ploverdale.tools.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import ploverdale.tools.fleet.FaultSchedule;
import ploverdale.tools.fleet.Fleet;
import ploverdale.tools.fleet.FleetResult;
import ploverdale.tools.fleet.GatewayProcess.Launch;
import ploverdale.tools.fleet.ScheduleGenerator;
import ploverdale.tools.fleet.Workload;
import ploverdale.tools.stand.TestCluster;

/**
 * Bounds the attempts in flight at each server by a shared limit. Gateways run as processes, one with five times the
 * load of the others, through random fault schedules; attempts in flight are counted at the servers. Each schedule is
 * run again without shared limits for comparison.
 */
final class BudgetsRig {
    private static final int GATEWAYS = 5;
    private static final int LIMIT = 5;
    private static final long DURATION_MS = 9000;
    private static final double REQUESTS_PER_SECOND = 50; // of each gateway but the first
    private static final long SETTLE_MS = 6000; // until each gateway holds the leases of its partition
    private static final double FIRST_GATEWAY_FACTOR = 5; // load of the first gateway, in multiples of the others

    private BudgetsRig() {}

    /** Counts the attempts in flight at each server and remembers the first one beyond the limit. */
    static final class InFlightCounter implements TestCluster.RequestListener {
        private final Map<String, Integer> inFlight = new HashMap<>();
        private final int limit;
        private int highest;
        private String firstAboveLimit;

        InFlightCounter(int limit) {
            this.limit = limit;
        }

        int highest() {
            return highest;
        }

        String firstAboveLimit() {
            return firstAboveLimit;
        }

        @Override
        public synchronized void onRequest(String request, String server, long at, boolean started) {
            int count = inFlight.merge(server, started ? 1 : -1, Integer::sum);
            highest = Math.max(highest, count);
            if (count > limit && firstAboveLimit == null) {
                firstAboveLimit = request + " at " + server;
            }
        }
    }

    static List<Check> play(long firstSeed, int seeds, int atATime) throws InterruptedException {
        Launch withLimits;
        Launch withoutLimits;
        Path file;
        try {
            file = Files.createTempFile("fleet", ".json");
            Files.writeString(
                    file,
                    "{\"sends_at_server\":" + LIMIT + ",\"loan_ms\":800,\"steward_ms\":1200,\"floor_share\":0.1}");
            withLimits = Launch.locate(List.of("--fleet", file.toString()));
            withoutLimits = Launch.locate(List.of());
        } catch (IOException e) {
            return List.of(new Check("start of gateways as processes", e.getMessage(), false));
        }
        int[] sums = new int[8];
        List<Check> checks = new ArrayList<>(SeedRuns.play(firstSeed, seeds, atATime, seed -> {
            FaultSchedule schedule = ScheduleGenerator.generate(seed, GATEWAYS, DURATION_MS, Fleet.SERVERS);
            InFlightCounter counter = new InFlightCounter(LIMIT);
            FleetResult limited = Fleet.run(schedule, workload(withLimits, counter));
            FleetResult unlimited = Fleet.run(schedule, workload(withoutLimits, new InFlightCounter(LIMIT)));
            synchronized (sums) {
                add(sums, 0, limited);
                add(sums, 4, unlimited);
            }
            // Prevents a pass because hardly anything was sent. A quarter suffices: a loaded machine serves less.
            boolean servesEnough = 4 * (limited.readsSucceeded() + limited.writesSucceeded())
                    > unlimited.readsSucceeded() + unlimited.writesSucceeded();
            boolean holds = counter.firstAboveLimit == null && limited.broken().isEmpty() && servesEnough;
            return new Check(
                    "seed " + schedule.seed() + ", " + schedule.steps().size() + " steps: never more than " + LIMIT
                            + " in flight at a server, no rule broken, over a quarter as many successes as without",
                    "at most " + counter.highest + " in flight; " + limited.figures()
                            + (holds
                                    ? ""
                                    : ", first above the limit: " + counter.firstAboveLimit + ", broken: "
                                            + limited.broken() + "\n" + schedule.text() + "log:\n"
                                            + String.join("\n", limited.log())),
                    holds);
        }));
        checks.add(new Check("service with shared limits", figures(sums, 0), true));
        checks.add(new Check("service without shared limits", figures(sums, 4), true));
        try {
            Files.delete(file);
        } catch (IOException e) {
            checks.add(new Check("temporary fleet file", "could not be deleted: " + e.getMessage(), true));
        }
        return checks;
    }

    private static Workload workload(Launch launch, TestCluster.RequestListener listener) {
        List<Double> rates = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            rates.add(i == 0 ? FIRST_GATEWAY_FACTOR * REQUESTS_PER_SECOND : REQUESTS_PER_SECOND);
        }
        return new Workload(launch, rates, SETTLE_MS, listener);
    }

    private static void add(int[] sums, int offset, FleetResult result) {
        sums[offset] += result.readsSent();
        sums[offset + 1] += result.readsSucceeded();
        sums[offset + 2] += result.writesSent();
        sums[offset + 3] += result.writesSucceeded();
    }

    private static String figures(int[] sums, int offset) {
        return String.format(
                Locale.ROOT,
                "succeeded: reads %.1f %%, writes %.1f %%",
                100.0 * sums[offset + 1] / Math.max(1, sums[offset]),
                100.0 * sums[offset + 3] / Math.max(1, sums[offset + 2]));
    }
}
