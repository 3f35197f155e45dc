package ploverdale.tools.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import ploverdale.tools.scale.Slope.Point;

/**
 * Makes the tables of docs/CAPACITY.md from the rows that {@link RouterScale} wrote: the slope of the processor time, what it
 * misses at the size that it was not fitted to, and where it goes over the bound. The largest size of each condition is that one.
 */
public final class CapacityTable {
    /** The size that the design has to carry. */
    public static final int SERVERS = 17_000;

    /** What control may use of a core, in milliseconds a second. */
    public static final double CPU_MS_MOST = 17;

    private static final int CONDITION = 0;
    private static final int READS = 1;
    private static final int SIZE = 2;
    private static final int CPU = 3;
    private static final int COLUMNS = 9;

    private CapacityTable() {}

    /** The lines of the table, for rows with or without their head. */
    public static List<String> of(List<String> rows) {
        Map<String, List<Point>> all = new LinkedHashMap<>();
        for (String row : rows) {
            String[] cells = row.split(",");
            if (row.isBlank() || row.equals(RouterScale.CSV_HEADER)) {
                continue;
            }
            if (cells.length != COLUMNS) {
                throw new IllegalArgumentException("not a row of scale: " + row);
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
