package ploverdale.clock;

/**
 * The clocks of this machine. Spans (deadlines, windows, waits, ages, timers) are counted by {@link #now()} or
 * {@link #nanos()}, which never step; {@link #wallMs()} is only for what is read by people or has to differ between two
 * starts of a process. Safe for use by several threads.
 */
public interface Clock {
    /**
     * Service time, in tenths of a millisecond, rounded down: the Unix time at which this clock was made plus the
     * monotonic time since. It neither steps nor goes back, whatever happens to the wall clock.
     */
    long now();

    /** The wall clock: Unix time in milliseconds. It may step at any moment, in both directions. */
    long wallMs();

    /** Monotonic nanoseconds from an arbitrary origin, the one by which the event loop counts its timers. */
    long nanos();

    /** The same in whole milliseconds. */
    default long monotonicMs() {
        return nanos() / 1_000_000;
    }

    /** The clock of this process, the same for all that share the process. */
    static Clock system() {
        return SystemClock.INSTANCE;
    }
}
