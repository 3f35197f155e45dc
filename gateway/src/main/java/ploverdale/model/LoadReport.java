package ploverdale.model;

/** What a server said of itself: its role and, when told, the log position applied and the busy part of its cores. */
public record LoadReport(Role role, long position, double busy) {

    public LoadReport(Role role, long position) {
        this(role, position, Double.NaN);
    }

    /** Stands for no position told. */
    public static final long UNKNOWN_TIME = Long.MIN_VALUE / 4;

    /** A member's part in its group. */
    public enum Role {
        UNKNOWN,
        PRIMARY,
        REPLICA
    }
}
