package ploverdale.quota;

/**
 * A whole number of parts of something that a fleet may spend.
 *
 * @param name as it is told in the file
 * @param kind whether parts are spent anew each second or given back
 * @param capacity parts of the fleet; for a rate, one spent a second each
 * @param maxHoldTime for a rate, for how long it may save up; for what is in use, for how long at most a part stays so once it was
 *     taken (tenths of a millisecond)
 */
public record SharedLimit(String name, Kind kind, int capacity, long maxHoldTime) {
    /** How parts are spent. */
    public enum Kind {
        RATE,
        CONCURRENCY
    }

    /** The spelling that goes into {@link QuotaAllocation#id}; the same in all versions that interoperate. */
    String fingerprint() {
        String kindOnWire = kind == Kind.RATE ? "RATE" : "IN_USE";
        return "Budget[name=" + name + ", kind=" + kindOnWire + ", whole=" + capacity + ", holds=" + maxHoldTime + "]";
    }

    public SharedLimit {
        if (capacity < 0 || capacity > QuotaAllocation.WHOLE_MOST || maxHoldTime <= 0) {
            throw new IllegalArgumentException("budget " + name + " of " + capacity + " parts held for " + maxHoldTime);
        }
    }
}
