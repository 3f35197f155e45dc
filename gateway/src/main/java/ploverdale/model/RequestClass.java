package ploverdale.model;

/** What an op type promises its clients and asks of the servers. Times in tenths of a millisecond. */
public record RequestClass(
        long latencyTarget,
        double targetPerWork,
        long timeout,
        Idempotence repeats,
        Scope scope,
        long repeatWindow,
        double value,
        double lateShare,
        boolean streamed,
        Consistency needs,
        long stalenessBound) {

    /** What may happen when an op runs again. */
    public enum Idempotence {
        IDEMPOTENT,
        WITH_IDEMPOTENCY_KEY,
        NOT_IDEMPOTENT
    }

    /** Which servers know a repeat of a tokened op. */
    public enum Scope {
        ALL,
        ZONE,
        GROUP
    }

    /** How recent the data must be. */
    public enum Consistency {
        WRITE,
        FRESH,
        SESSION,
        BOUNDED,
        UNBOUNDED
    }
}
