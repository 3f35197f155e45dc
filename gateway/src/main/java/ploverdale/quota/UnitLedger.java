package ploverdale.quota;

import java.util.List;

/**
 * The units of all shared limits that this gateway holds, compared with what it needs: the recent demand and some
 * headroom. Limits are referred to by their index in the allocation.
 *
 * <p>Times are in tenths of a millisecond of a monotonic clock. Not thread-safe: called only on the thread of {@link
 * QuotaProtocol}.
 */
final class UnitLedger {
    private static final double HEADROOM = 0.25; // share of the demand, since random arrivals exceed their mean

    private final List<HeldUnits> byLimit;

    UnitLedger(List<SharedLimit> limits, long now) {
        byLimit = limits.stream().map(limit -> new HeldUnits(limit, now)).toList();
    }

    /** Returns the number of limits. */
    int limitCount() {
        return byLimit.size();
    }

    /** Returns the units held of one limit. */
    HeldUnits of(int limit) {
        return byLimit.get(limit);
    }

    /** Removes all units that come from a source. */
    void removeSource(long now, UnitSource source) {
        for (HeldUnits units : byLimit) {
            units.setUnits(now, source, 0, now);
        }
    }

    /** Returns the units needed for the recent demand and the headroom. */
    private static int target(long now, HeldUnits units) {
        int demand = units.demand(now);
        return demand + (int) Math.ceil(demand * HEADROOM);
    }

    /** Returns the units needed in addition to those held; negative where more are held than needed. */
    int missing(long now, int limit) {
        HeldUnits units = of(limit);
        return target(now, units) - units.units(now);
    }

    /** Returns the units held that are neither in use nor needed; negative where units are missing. */
    int spare(long now, int limit) {
        HeldUnits units = of(limit);
        return units.units(now) - Math.max(units.inUse(), target(now, units));
    }
}
