package ploverdale.model;

/**
 * A class of requests: what it promises its clients and needs of the servers. Times are {@link Ticks}.
 *
 * @param latencyObjective the latency up to which an answer has its full value
 * @param objectivePerWork what each unit of expected work adds to the objective
 * @param timeout after which the client no longer waits
 * @param idempotence whether and how a request may run twice
 * @param idempotencyScope which servers recognize a repeat by its key
 * @param idempotencyWindow for how long they do
 * @param value the priority weight of a request
 * @param lateValueShare the part of its value that an answer beyond the objective still has
 * @param streamed whether the response is streamed
 * @param consistency how recent the data must be
 * @param stalenessBound how old it may be, for {@link Consistency#BOUNDED}
 */
public record RequestClass(
        long latencyObjective,
        double objectivePerWork,
        long timeout,
        Idempotence idempotence,
        Scope idempotencyScope,
        long idempotencyWindow,
        double value,
        double lateValueShare,
        boolean streamed,
        Consistency consistency,
        long stalenessBound) {

    /** What may happen when a request runs again. */
    public enum Idempotence {
        /** Nothing. */
        IDEMPOTENT,
        /** Nothing, at servers that recognize its idempotency key. */
        WITH_IDEMPOTENCY_KEY,
        /** A second effect. */
        NOT_IDEMPOTENT
    }

    /** Which servers recognize the repeat of a request by its idempotency key. */
    public enum Scope {
        /** All servers. */
        ALL,
        /** Those of the zone in which it ran first. */
        ZONE,
        /** Those of the group in which it ran first. */
        GROUP
    }

    /** How recent the data must be. */
    public enum Consistency {
        /** A write, at the primary. */
        WRITE,
        /** A read of the latest data, at the primary. */
        FRESH,
        /** A read that includes the session's last write. */
        SESSION,
        /** A read of data no older than the staleness bound. */
        BOUNDED,
        /** A read of data of any age. */
        UNBOUNDED
    }
}
