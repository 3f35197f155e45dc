package ploverdale.tools.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import ploverdale.tools.scale.RouterLoad.Condition;
import ploverdale.tools.scale.RouterLoad.Cost;

/**
 * Measures the costs of the router at increasing numbers of servers, fits a growth curve to each cost, predicts the
 * cost at twice the largest size, and then measures there. A curve whose error exceeds {@link GrowthCurve#MAX_MISS}
 * is reported as not usable.
 */
public final class RouterScale {
    /** Header line of the CSV rows. */
    public static final String CSV_HEADER =
            "condition,reads_per_second,servers,cpu_ms_per_s,allocated_kb_per_s,events_per_s,probes_per_s,served_per_s,refused_per_s";

    /** Length of a run in simulated time; half of it is warm-up. */
    private static final double SECONDS = 20;

    /** A cost to which a curve is fitted. */
    private enum Metric {
        CPU("cpu_ms_per_s", Cost::cpuMs),
        ALLOCATED("allocated_kb_per_s", c -> c.allocatedBytes() / 1000),
        EVENTS("events_per_s", Cost::events);

        private final String column;
        private final ToDoubleFunction<Cost> value;

        Metric(String column, ToDoubleFunction<Cost> value) {
            this.column = column;
            this.value = value;
        }
    }

    private final Condition condition;
    private final double readsPerSecond;
    private final long seed;
    private final List<String> rows = new ArrayList<>();
    private final PrintStream progress;

    private RouterScale(Condition condition, double readsPerSecond, long seed, PrintStream progress) {
        this.condition = condition;
        this.readsPerSecond = readsPerSecond;
        this.seed = seed;
        this.progress = progress;
    }

    /**
     * Measures at each size and at twice the largest.
     *
     * @param sizes numbers of servers, in ascending order
     * @param out CSV file to which the rows are appended; null for none
     * @param progress receives each row as soon as it is measured, and the fitted curves
     * @return whether the curve of each cost is usable
     */
    public static boolean run(
            Condition condition, double readsPerSecond, List<Integer> sizes, long seed, Path out, PrintStream progress)
            throws IOException {
        RouterScale scale = new RouterScale(condition, readsPerSecond, seed, progress);
        progress.println(CSV_HEADER);
        scale.measure(sizes.get(sizes.size() - 1)); // not recorded: warms up the JIT compiler for all sizes
        scale.rows.clear();
        List<Cost> costs = new ArrayList<>();
        for (int size : sizes) {
            costs.add(scale.measure(size));
        }
        boolean holds = scale.check(sizes, costs);
        if (out != null) {
            boolean isNew = !Files.exists(out);
            List<String> lines = new ArrayList<>(isNew ? List.of(CSV_HEADER) : Files.readAllLines(out));
            lines.addAll(scale.rows);
            Files.write(out, lines);
        }
        return holds;
    }

    private Cost measure(int servers) {
        Cost c = RouterLoad.measure(servers, readsPerSecond, condition, SECONDS, seed);
        String row = String.format(
                Locale.ROOT,
                "%s,%.0f,%d,%.2f,%.1f,%.1f,%.1f,%.1f,%.1f",
                condition.name().toLowerCase(Locale.ROOT),
                readsPerSecond,
                servers,
                c.cpuMs(),
                c.allocatedBytes() / 1000,
                c.events(),
                c.healthChecks(),
                c.served(),
                c.rejected());
        rows.add(row);
        progress.println(row);
        return c;
    }

    private boolean check(List<Integer> sizes, List<Cost> costs) {
        int checkSize = 2 * sizes.get(sizes.size() - 1);
        List<GrowthCurve> curves = new ArrayList<>();
        for (Metric f : Metric.values()) {
            List<GrowthCurve.Point> points = new ArrayList<>();
            for (int i = 0; i < sizes.size(); i++) {
                points.add(new GrowthCurve.Point(sizes.get(i), f.value.applyAsDouble(costs.get(i))));
            }
            GrowthCurve s = GrowthCurve.fit(points);
            curves.add(s);
            progress.printf(
                    Locale.ROOT,
                    "# %s: %.4g + %.4g x %s, residual %.1f %%; predicted at %d: %.4g%n",
                    f.column,
                    s.base(),
                    s.factor(),
                    s.shape().formula(),
                    100 * s.residual(),
                    checkSize,
                    s.costAt(checkSize));
        }
        Cost costAtCheckSize = measure(checkSize);
        boolean holds = true;
        for (Metric f : Metric.values()) {
            double measured = f.value.applyAsDouble(costAtCheckSize);
            double miss = curves.get(f.ordinal()).costAt(checkSize) / measured - 1;
            boolean usable = curves.get(f.ordinal()).isUsable(miss);
            holds &= usable;
            progress.printf(
                    Locale.ROOT,
                    "# %s at %d: measured %.4g, error of the prediction %+.1f %%: %s%n",
                    f.column,
                    checkSize,
                    measured,
                    100 * miss,
                    usable ? "holds" : "not to be used");
        }
        return holds;
    }
}
