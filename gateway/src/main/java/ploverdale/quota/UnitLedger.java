package ploverdale.quota;

/**
 * Compares what this gateway holds of each budget with what it needs: the recent demand and some headroom above it.
 * Counts are units, times tenths of a millisecond of a monotonic clock. Has no state beside the held units that it
 * reads; not thread-safe, called on the thread of {@link QuotaProtocol}.
 */
final class UnitLedger {
    private static final double HEADROOM = 0.25; // as a share of the demand, since requests arrive at random

    private final HeldUnits[] held;

    /** @param held by budget, shared with {@link QuotaProtocol} */
    UnitLedger(HeldUnits[] held) {
        this.held = held;
    }

    /** Units needed for the recent demand, headroom included. */
    private int target(long now, int budget) {
        int wanted = held[budget].wanted(now);
        return wanted + (int) Math.ceil(wanted * HEADROOM);
    }

    /** Units needed beyond those held; negative where more are held. */
    int missing(long now, int budget) {
        return target(now, budget) - held[budget].parts(now);
    }

    /** Units held that are neither in use nor needed; negative where some are missing. */
    int spare(long now, int budget) {
        HeldUnits units = held[budget];
        return units.parts(now) - Math.max(units.inUse(), target(now, budget));
    }
}
