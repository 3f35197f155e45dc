package ploverdale.model;

/**
 * The properties that all requests of a class share. Times are {@link Ticks}.
 *
 * @param latencyObjective the latency up to which an answer has its full value
 * @param objectivePerWork how much each unit of expected work adds to the latency objective
 * @param timeout how long the client waits for the answer
 * @param idempotence whether a request may run more than once
 * @param idempotencyScope which servers recognize a repeated request by its idempotency key
 * @param idempotencyWindow for how long they recognize it
 * @param value the priority weight of a request
 * @param lateValueShare the fraction of its value that an answer has after the latency objective
 * @param streamed whether the response is streamed
 * @param consistency how recent the data must be
 * @param stalenessBound the maximum age of the data, for {@link Consistency#BOUNDED}
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

    /** Whether a request may run more than once. */
    public enum Idempotence {
        /** Running the request again has no further effect. */
        IDEMPOTENT,
        /** Running the request again has no further effect at servers that recognize its idempotency key. */
        WITH_IDEMPOTENCY_KEY,
        /** Running the request again would apply its effect a second time. */
        NOT_IDEMPOTENT
    }

    /** Which servers recognize a repeated request by its idempotency key. */
    public enum Scope {
        /** All servers. */
        ALL,
        /** The servers in the zone where the request ran first. */
        ZONE,
        /** The servers of the replica group where the request ran first. */
        GROUP
    }

    /** How recent the data must be. */
    public enum Consistency {
        /** A write; only the primary accepts it. */
        WRITE,
        /** A read of the latest data; only the primary has it. */
        FRESH,
        /** A read whose data must include the session's last write. */
        SESSION,
        /** A read whose data may be no older than the staleness bound. */
        BOUNDED,
        /** A read whose data may have any age. */
        UNBOUNDED
    }
}
