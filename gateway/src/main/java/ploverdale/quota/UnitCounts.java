package ploverdale.quota;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Counts of units by the index of their limit, for some or all of the limits. Immutable. */
final class UnitCounts {
    private final SortedMap<Integer, Integer> byLimit;

    private UnitCounts(SortedMap<Integer, Integer> byLimit) {
        this.byLimit = Collections.unmodifiableSortedMap(byLimit);
    }

    /** Returns counts for the limits in the map, which is copied. */
    static UnitCounts of(Map<Integer, Integer> byLimit) {
        return new UnitCounts(new TreeMap<>(byLimit));
    }

    /**
     * Returns counts for all limits, including those with 0 units.
     *
     * @param units by limit
     */
    static UnitCounts ofAllLimits(int[] units) {
        return withCountsAtLeast(0, units);
    }

    /**
     * Returns counts for the limits with at least one unit.
     *
     * @param units by limit
     */
    static UnitCounts ofPositive(int[] units) {
        return withCountsAtLeast(1, units);
    }

    private static UnitCounts withCountsAtLeast(int minCount, int[] units) {
        SortedMap<Integer, Integer> byLimit = new TreeMap<>();
        for (int limit = 0; limit < units.length; limit++) {
            if (units[limit] >= minCount) {
                byLimit.put(limit, units[limit]);
            }
        }
        return new UnitCounts(byLimit);
    }

    /** Returns the units of a limit, 0 where it is not listed. */
    int get(int limit) {
        return byLimit.getOrDefault(limit, 0);
    }

    /** Returns the units by limit, in the order of the limits; read-only. */
    SortedMap<Integer, Integer> byLimit() {
        return byLimit;
    }
}
