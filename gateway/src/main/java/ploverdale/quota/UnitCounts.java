package ploverdale.quota;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Counts of units by the index of their limit, for some of the limits. Immutable. */
final class UnitCounts {
    private final SortedMap<Integer, Integer> byLimit;

    private UnitCounts(SortedMap<Integer, Integer> byLimit) {
        this.byLimit = Collections.unmodifiableSortedMap(byLimit);
    }

    /** Those limits that are in the map; it is copied. */
    static UnitCounts of(Map<Integer, Integer> byLimit) {
        return new UnitCounts(new TreeMap<>(byLimit));
    }

    /** All limits, also those with 0 units; {@code units} is by limit. */
    static UnitCounts all(int[] units) {
        return atLeast(0, units);
    }

    /** Only the limits of which there are units; {@code units} is by limit. */
    static UnitCounts positive(int[] units) {
        return atLeast(1, units);
    }

    private static UnitCounts atLeast(int least, int[] units) {
        SortedMap<Integer, Integer> byLimit = new TreeMap<>();
        for (int limit = 0; limit < units.length; limit++) {
            if (units[limit] >= least) {
                byLimit.put(limit, units[limit]);
            }
        }
        return new UnitCounts(byLimit);
    }

    /** Units of a limit, 0 where it is not listed. */
    int get(int limit) {
        return byLimit.getOrDefault(limit, 0);
    }

    /** Units by limit in the order of the limits; read-only. */
    SortedMap<Integer, Integer> byLimit() {
        return byLimit;
    }
}
