package ploverdale.model;

/**
 * The unit of all times that the router uses. A tick is a tenth of a millisecond. Points in time, deadlines included,
 * are counted on the gateway's monotonic clock; durations are numbers of ticks.
 */
public final class Ticks {
    public static final long PER_MILLISECOND = 10;

    public static final long PER_SECOND = 1000 * PER_MILLISECOND;

    private Ticks() {}

    /** Converts milliseconds to ticks. */
    public static long ofMillis(long millis) {
        return millis * PER_MILLISECOND;
    }
}
