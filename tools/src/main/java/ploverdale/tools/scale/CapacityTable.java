package ploverdale.tools.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import ploverdale.tools.scale.GrowthCurve.Point;

/**
 * Formats the rows that {@link RouterScale} wrote as the Markdown table of docs/CAPACITY.md: the curve fitted to
 * the CPU time, its error at a size that it was not fitted to, and the size at which it exceeds the bound. The last
 * row of each condition and read rate is the one that the curve is checked at.
 */
public final class CapacityTable {
    /** Number of servers that a gateway must be able to handle. */
    public static final int REQUIRED_SERVERS = 17_000;

    /** Largest CPU time that routing decisions may take, in milliseconds per second of one core. */
    public static final double MAX_CPU_MS_PER_SECOND = 17;

    private static final int CONDITION_COLUMN = 0;
    private static final int READS_COLUMN = 1;
    private static final int SERVERS_COLUMN = 2;
    private static final int CPU_COLUMN = 3;
    private static final int COLUMN_COUNT = 9;

    private CapacityTable() {}

    /**
     * Returns the lines of the table.
     *
     * @param rows rows of {@link RouterScale}, with or without their header line; blank lines are skipped
     * @throws IllegalArgumentException if a row does not have the columns of {@link RouterScale}
     */
    public static List<String> of(List<String> rows) {
        Map<String, List<Point>> pointsByCondition = new LinkedHashMap<>();
        for (String row : rows) {
            String[] cells = row.split(",");
            if (row.isBlank() || row.equals(RouterScale.CSV_HEADER)) {
                continue;
            }
            if (cells.length != COLUMN_COUNT) {
                throw new IllegalArgumentException("not a row of \"scale router\": " + row);
            }
            String condition = cells[CONDITION_COLUMN].replace('_', ' ') + ", " + cells[READS_COLUMN] + " reads/s";
            pointsByCondition
                    .computeIfAbsent(condition, x -> new ArrayList<>())
                    .add(new Point(Double.parseDouble(cells[SERVERS_COLUMN]), Double.parseDouble(cells[CPU_COLUMN])));
        }
        List<String> lines = new ArrayList<>(List.of(
                "| condition | sizes fitted | processor time, ms/s | residual | checked at | miss | at "
                        + String.format(Locale.ROOT, "%,d", REQUIRED_SERVERS) + " | bound | verdict |",
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"));
        pointsByCondition.forEach((condition, points) -> lines.add(line(condition, points)));
        return lines;
    }

    private static String line(String condition, List<Point> points) {
        List<Point> fitted = points.subList(0, points.size() - 1);
        Point check = points.get(points.size() - 1);
        GrowthCurve curve = GrowthCurve.fit(fitted);
        double miss = curve.costAt(check.size()) / check.cost() - 1;
        return String.format(
                Locale.ROOT,
                "| %s | %,.0f to %,.0f | %.3g + %.3g x %s | %.1f %% | %,.0f: %.4g | %+.1f %% | %.4g | %.0f | %s |",
                condition,
                fitted.get(0).size(),
                fitted.get(fitted.size() - 1).size(),
                curve.base(),
                curve.factor(),
                curve.shape().formula(),
                100 * curve.residual(),
                check.size(),
                check.cost(),
                100 * miss,
                curve.costAt(REQUIRED_SERVERS),
                MAX_CPU_MS_PER_SECOND,
                verdict(curve, miss));
    }

    private static String verdict(GrowthCurve curve, double miss) {
        if (!curve.isUsable(miss)) {
            return "not measured: the curve is not to be used";
        }
        if (curve.costAt(REQUIRED_SERVERS) <= MAX_CPU_MS_PER_SECOND) {
            return "fits";
        }
        int size = 1;
        while (curve.costAt(size) <= MAX_CPU_MS_PER_SECOND) {
            size++;
        }
        return String.format(Locale.ROOT, "breaks at %,d", size);
    }
}
