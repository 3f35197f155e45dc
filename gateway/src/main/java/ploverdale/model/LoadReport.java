package ploverdale.model;

/**
 * What a server reported about itself.
 *
 * @param position the log position up to which the server has applied writes, as the commit time of the last applied
 *     write in {@link Ticks}; {@link #UNKNOWN_TIME} if not reported
 * @param utilization the CPU utilization: the fraction of the server's cores that is busy; NaN if not reported
 */
public record LoadReport(Role role, long position, double utilization) {

    /**
     * Represents an unknown time, in {@link Ticks}: so long ago that it is too old for every bound, yet differences
     * from it do not overflow.
     */
    public static final long UNKNOWN_TIME = Long.MIN_VALUE / 4;

    /** Creates a report without utilization. */
    public LoadReport(Role role, long position) {
        this(role, position, Double.NaN);
    }

    /** A server's role in its group. */
    public enum Role {
        /** Not reported. */
        UNKNOWN,
        /** Accepts writes. */
        PRIMARY,
        /** Applies the primary's log. */
        REPLICA
    }
}
