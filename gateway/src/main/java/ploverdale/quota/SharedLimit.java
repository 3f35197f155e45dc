package ploverdale.quota;

/**
 * A limit that all gateways share, in whole units: a request rate, or a number of units in use at the same time.
 *
 * @param name as operators see it; unique among the limits of an allocation
 * @param capacity units of all gateways together; of a rate, units a second
 * @param maxHoldTime for a rate, for how long unspent units accumulate (the burst); for concurrency, for how long at most a
 *     unit stays in use once it was acquired; in tenths of a millisecond
 */
public record SharedLimit(String name, Kind kind, int capacity, long maxHoldTime) {
    /** The largest capacity: messages carry counts of units in 16 bits. */
    public static final int MAX_CAPACITY = 65_535;

    /** How units are consumed. */
    public enum Kind {
        /** A unit is spent for good; each unit that is held yields a new one every second. */
        RATE("RATE"),
        /** A unit is in use until it is released. */
        CONCURRENCY("IN_USE");

        private final String wireName;

        Kind(String wireName) {
            this.wireName = wireName;
        }
    }

    public SharedLimit {
        if (capacity < 0 || capacity > MAX_CAPACITY || maxHoldTime <= 0) {
            throw new IllegalArgumentException("budget " + name + " of " + capacity + " parts held for " + maxHoldTime);
        }
    }

    /** The spelling that goes into {@link QuotaAllocation#id}; the same in all versions that interoperate. */
    String fingerprint() {
        return "Budget[name=" + name + ", kind=" + kind.wireName + ", whole=" + capacity + ", holds=" + maxHoldTime
                + "]";
    }
}
