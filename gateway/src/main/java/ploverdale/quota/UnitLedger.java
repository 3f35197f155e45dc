package ploverdale.quota;

import java.util.List;

/**
 * The units of all shared limits that this gateway holds, and how they compare with what it needs: the recent demand and some
 * headroom above it. Limits are named by their index in the allocation.
 *
 * <p>Times are tenths of a millisecond of a monotonic clock. Not thread-safe, called on the thread of {@link QuotaProtocol}.
 */
final class UnitLedger {
    private static final double HEADROOM = 0.25; // as a share of the demand, since requests arrive at random

    private final List<HeldUnits> byLimit;

    UnitLedger(List<SharedLimit> limits, long now) {
        byLimit = limits.stream().map(limit -> new HeldUnits(limit, now)).toList();
    }

    /** How many limits there are. */
    int size() {
        return byLimit.size();
    }

    /** The units of one limit. */
    HeldUnits of(int limit) {
        return byLimit.get(limit);
    }

    /** From now on no unit of any limit is held of that source. */
    void remove(long now, UnitSource source) {
        for (HeldUnits units : byLimit) {
            units.set(now, source, 0, now);
        }
    }

    /** Units needed for the recent demand, headroom included. */
    private static int target(long now, HeldUnits units) {
        int demand = units.demand(now);
        return demand + (int) Math.ceil(demand * HEADROOM);
    }

    /** Units needed beyond those held; negative where more are held. */
    int missing(long now, int limit) {
        HeldUnits units = of(limit);
        return target(now, units) - units.units(now);
    }

    /** Units held that are neither in use nor needed; negative where some are missing. */
    int spare(long now, int limit) {
        HeldUnits units = of(limit);
        return units.units(now) - Math.max(units.inUse(), target(now, units));
    }
}
