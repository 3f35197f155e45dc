package ploverdale.model;

/**
 * What a server reported of itself.
 *
 * @param position the log position that it has applied, as the commit time of the last write it includes; or
 *     {@link #UNKNOWN_TIME}
 * @param busy the busy part of its cores; NaN where it is not reported
 */
public record LoadReport(Role role, long position, double busy) {

    /** Stands for a time that is not known: so long ago that it is too old for every bound. */
    public static final long UNKNOWN_TIME = Long.MIN_VALUE / 4;

    /** A report without utilization. */
    public LoadReport(Role role, long position) {
        this(role, position, Double.NaN);
    }

    /** A server's role in its group. */
    public enum Role {
        /** Not reported. */
        UNKNOWN,
        /** Takes writes. */
        PRIMARY,
        /** Applies the primary's log. */
        REPLICA
    }
}
