package ploverdale.quota;

/**
 * A limit that all gateways share, counted in whole units: a request rate, or a number of units in use at the same
 * time.
 *
 * @param name shown to operators; unique among the limits of an allocation
 * @param capacity units of all gateways together; for a rate, units per second
 * @param maxHoldTime for a rate, the time for which unspent units accumulate (the burst); for concurrency, the longest
 *     time that a unit stays in use after it was acquired; in tenths of a millisecond
 */
public record SharedLimit(String name, Kind kind, int capacity, long maxHoldTime) {
    /** Upper bound of the capacity: messages carry counts of units in 16 bits. */
    public static final int MAX_CAPACITY = 65_535;

    /** How units are consumed. */
    public enum Kind {
        /** An acquisition spends a token; each unit that is held yields one token per second. */
        RATE("RATE"),
        /** An acquired unit is in use until it is released. */
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

    /**
     * Returns the text that is hashed into {@link QuotaAllocation#id}. It must be the same in all versions that
     * interoperate, so it keeps the names of an earlier version: a budget is a shared limit, its whole is the
     * capacity.
     */
    String fingerprint() {
        return "Budget[name=" + name + ", kind=" + kind.wireName + ", whole=" + capacity + ", holds=" + maxHoldTime
                + "]";
    }
}
