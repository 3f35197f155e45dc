package ploverdale.model;

/**
 * The unit of all times in decisions: a tick is a tenth of a millisecond. Points in time are ticks of the gateway's monotonic time;
 * spans, deadlines and latencies are numbers of ticks.
 */
public final class Ticks {
    /** Ticks in a millisecond. */
    public static final long PER_MILLISECOND = 10;

    /** Ticks in a second. */
    public static final long PER_SECOND = 1000 * PER_MILLISECOND;

    private Ticks() {}

    /** A span of milliseconds in ticks. */
    public static long ofMillis(long millis) {
        return millis * PER_MILLISECOND;
    }
}
