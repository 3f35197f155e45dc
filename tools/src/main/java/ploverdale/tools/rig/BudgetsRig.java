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
 * Sends out at each server as a budget of the fleet: gateways as processes, one asked five times as much as the others,
 * through drawn days of faults. What is out is counted at the servers. Beside each day the same without budgets.
 */
final class BudgetsRig {
    private static final int GATEWAYS = 5;
    private static final int WHOLE = 5;
    private static final long LASTS_MS = 9000;
    private static final double OPS_PER_SECOND = 50; // of each but one
    private static final long SETTLES_MS = 6000; // until each is the steward of its estate
    private static final double MORE = 5;

    private BudgetsRig() {}

    /** What is out at each server, counted there. */
    static final class Out implements TestCluster.Traffic {
        private final Map<String, Integer> now = new HashMap<>();
        private final int whole;
        private int most;
        private String firstOver;

        Out(int whole) {
            this.whole = whole;
        }

        int most() {
            return most;
        }

        String firstOver() {
            return firstOver;
        }

        @Override
        public synchronized void request(String request, String server, long at, boolean comes) {
            int n = now.merge(server, comes ? 1 : -1, Integer::sum);
            most = Math.max(most, n);
            if (n > whole && firstOver == null) {
                firstOver = request + " at " + server;
            }
        }
    }

    static List<Check> play(long firstSeed, int seeds, int atATime) throws InterruptedException {
        Launch with;
        Launch without;
        Path file;
        try {
            file = Files.createTempFile("fleet", ".json");
            Files.writeString(
                    file,
                    "{\"sends_at_server\":" + WHOLE + ",\"loan_ms\":800,\"steward_ms\":1200,\"floor_share\":0.1}");
            with = Launch.locate(List.of("--fleet", file.toString()));
            without = Launch.locate(List.of());
        } catch (IOException e) {
            return List.of(new Check("gateways as processes", e.getMessage(), false));
        }
        int[] sums = new int[8];
        List<Check> checks = new ArrayList<>(SeedRuns.play(firstSeed, seeds, atATime, seed -> {
            FaultSchedule day = ScheduleGenerator.generate(seed, GATEWAYS, LASTS_MS, Fleet.SERVERS);
            Out out = new Out(WHOLE);
            FleetResult shown = Fleet.run(day, shape(with, out));
            FleetResult plain = Fleet.run(day, shape(without, new Out(WHOLE)));
            synchronized (sums) {
                add(sums, 0, shown);
                add(sums, 4, plain);
            }
            // Guards against a whole that holds because hardly anything was sent; a loaded machine costs some.
            boolean serves = 4 * (shown.readsSucceeded() + shown.writesSucceeded())
                    > plain.readsSucceeded() + plain.writesSucceeded();
            boolean holds = out.firstOver == null && shown.broken().isEmpty() && serves;
            return new Check(
                    "seed " + day.seed() + ", " + day.steps().size() + " steps: never over " + WHOLE
                            + " out at a server, no rule broken, a quarter served of what is without",
                    "at most " + out.most + " out; " + shown.figures()
                            + (holds
                                    ? ""
                                    : ", first over: " + out.firstOver + ", broken: " + shown.broken() + "\n"
                                            + day.text() + "log:\n" + String.join("\n", shown.log())),
                    holds);
        }));
        checks.add(new Check("service with budgets", figures(sums, 0), true));
        checks.add(new Check("service without", figures(sums, 4), true));
        try {
            Files.delete(file);
        } catch (IOException e) {
            checks.add(new Check("fleet file", "stays: " + e.getMessage(), true));
        }
        return checks;
    }

    private static Workload shape(Launch launch, TestCluster.Traffic traffic) {
        List<Double> rates = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            rates.add(i == 0 ? MORE * OPS_PER_SECOND : OPS_PER_SECOND);
        }
        return new Workload(launch, rates, SETTLES_MS, traffic);
    }

    private static void add(int[] sums, int from, FleetResult s) {
        sums[from] += s.readsSent();
        sums[from + 1] += s.readsSucceeded();
        sums[from + 2] += s.writesSent();
        sums[from + 3] += s.writesSucceeded();
    }

    private static String figures(int[] sums, int from) {
        return String.format(
                Locale.ROOT,
                "reads acked %.1f %%, writes %.1f %%",
                100.0 * sums[from + 1] / Math.max(1, sums[from]),
                100.0 * sums[from + 3] / Math.max(1, sums[from + 2]));
    }
}
