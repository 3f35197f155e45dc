package ploverdale.tools.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import ploverdale.tools.scale.Slope.Point;

/**
 * Formats the rows that {@link RouterScale} wrote as the Markdown table of docs/CAPACITY.md: the curve fitted to the CPU time,
 * its error at a size that it was not fitted to, and the size at which it exceeds the bound. The last row of each condition
 * and read rate is the one that the curve is checked at.
 */
public final class CapacityTable {
    /** Number of servers that a gateway must be able to handle. */
    public static final int SERVERS = 17_000;

    /** Largest CPU time that routing decisions may take, in milliseconds per second of one core. */
    public static final double CPU_MS_MOST = 17;

    private static final int CONDITION = 0;
    private static final int READS = 1;
    private static final int SIZE = 2;
    private static final int CPU = 3;
    private static final int COLUMNS = 9;

    private CapacityTable() {}

    /**
     * Returns the lines of the table.
     *
     * @param rows rows of {@link RouterScale}, with or without their header line; blank lines are skipped
     * @throws IllegalArgumentException if a row does not have the columns of {@link RouterScale}
     */
    public static List<String> of(List<String> rows) {
        Map<String, List<Point>> all = new LinkedHashMap<>();
        for (String row : rows) {
            String[] cells = row.split(",");
            if (row.isBlank() || row.equals(RouterScale.CSV_HEADER)) {
                continue;
            }
            if (cells.length != COLUMNS) {
                throw new IllegalArgumentException("not a row of \"scale router\": " + row);
            }
            String what = cells[CONDITION].replace('_', ' ') + ", " + cells[READS] + " reads/s";
            all.computeIfAbsent(what, x -> new ArrayList<>())
                    .add(new Point(Double.parseDouble(cells[SIZE]), Double.parseDouble(cells[CPU])));
        }
        List<String> lines = new ArrayList<>(List.of(
                "| condition | sizes fitted | processor time, ms/s | residual | checked at | miss | at "
                        + String.format(Locale.ROOT, "%,d", SERVERS) + " | bound | verdict |",
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"));
        all.forEach((what, points) -> lines.add(line(what, points)));
        return lines;
    }

    private static String line(String what, List<Point> points) {
        List<Point> fitted = points.subList(0, points.size() - 1);
        Point check = points.get(points.size() - 1);
        Slope slope = Slope.fit(fitted);
        double miss = slope.at(check.size()) / check.cost() - 1;
        return String.format(
                Locale.ROOT,
                "| %s | %,.0f to %,.0f | %.3g + %.3g x %s | %.1f %% | %,.0f: %.4g | %+.1f %% | %.4g | %.0f | %s |",
                what,
                fitted.get(0).size(),
                fitted.get(fitted.size() - 1).size(),
                slope.base(),
                slope.factor(),
                slope.shape().formula(),
                100 * slope.residual(),
                check.size(),
                check.cost(),
                100 * miss,
                slope.at(SERVERS),
                CPU_MS_MOST,
                verdict(slope, miss));
    }

    private static String verdict(Slope slope, double miss) {
        if (!slope.isUsable(miss)) {
            return "not measured: the slope is not to be used";
        }
        if (slope.at(SERVERS) <= CPU_MS_MOST) {
            return "fits";
        }
        int size = 1;
        while (slope.at(size) <= CPU_MS_MOST) {
            size++;
        }
        return String.format(Locale.ROOT, "breaks at %,d", size);
    }
}
