package ploverdale.quota;

/**
 * A whole number of parts of something that a fleet may spend.
 *
 * @param name as it is told in the file
 * @param kind whether parts are spent anew each second or given back
 * @param whole parts of the fleet; for a rate, one spent a second each
 * @param holds for a rate, for how long it may save up; for what is in use, for how long at most a part stays so once it was
 *     taken (tenths of a millisecond)
 */
public record Budget(String name, Kind kind, int whole, long holds) {
    /** How parts are spent. */
    public enum Kind {
        RATE,
        IN_USE
    }

    public Budget {
        if (whole < 0 || whole > QuotaAllocation.WHOLE_MOST || holds <= 0) {
            throw new IllegalArgumentException("budget " + name + " of " + whole + " parts held for " + holds);
        }
    }
}
