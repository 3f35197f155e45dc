package ploverdale.model;

/** What a server said of itself: its role and, when it told one, the log position it has applied. */
public record Telling(Role role, long position) {

    /** Stands for no position told. */
    public static final long UNTOLD = Long.MIN_VALUE / 4;

    /** A member's part in its group. */
    public enum Role { UNKNOWN, PRIMARY, REPLICA }
}
