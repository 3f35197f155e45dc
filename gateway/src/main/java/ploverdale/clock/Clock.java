package ploverdale.clock;

/**
 * The clocks of this machine. Durations (deadlines, windows, waits, ages, timers) are measured with {@link #now()} or
 * {@link #nanos()}, which never step. {@link #wallMs()} serves only for times that people read and for values that have
 * to differ between two starts of a process. Safe for use by several threads.
 */
public interface Clock {
    /**
     * Returns the service time in tenths of a millisecond, rounded down: the Unix time at which this clock was created
     * plus the monotonic time since. It neither steps nor runs backwards, even when the wall clock does.
     */
    long now();

    /** Returns the wall clock: Unix time in milliseconds. It may step at any moment, in either direction. */
    long wallMs();

    /** Returns monotonic nanoseconds since an arbitrary origin, the same that the timers of the event loop use. */
    long nanos();

    /** Returns {@link #nanos()} in whole milliseconds, rounded down. */
    default long monotonicMs() {
        return nanos() / 1_000_000;
    }

    /** Returns the clock of the operating system, one instance for the whole process. */
    static Clock system() {
        return SystemClock.INSTANCE;
    }
}
