package ploverdale.model;

/** What an op type promises its clients and asks of the servers. Times in tenths of a millisecond. */
public record OpType(
        long latencyTarget, double targetPerWork, long opTimeout, Repeats repeats, Scope scope, long repeatWindow,
        double value, double lateShare, boolean streamed, Needs needs, long stalenessBound) {

    /** What may happen when an op runs again. */
    public enum Repeats { RETRYABLE, TOKENED, NON_RETRYABLE }

    /** Which servers know a repeat of a tokened op. */
    public enum Scope { ALL, ZONE, GROUP }

    /** How recent the data must be. */
    public enum Needs { WRITE, FRESH, SESSION, BOUNDED, UNBOUNDED }
}
