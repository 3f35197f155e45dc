package ploverdale.tools.model;

/**
 * The parameters of a {@link GroupModel}. Times are in ticks (a tenth of a millisecond).
 *
 * @param replicationDelay from a commit until a replica that keeps up has applied it
 * @param detectionTime from the loss of the primary until the group notices it
 * @param electionTime from then on until a replica takes over
 * @param handoverTime the time without a primary while a draining primary hands over
 * @param cores the number of requests that a server executes at a time
 * @param meanServiceTime of a request at full capacity
 * @param initialCapacity the share of its capacity with which a server starts
 * @param slowStartDuration from the start of a server until it has its full capacity
 * @param overloadFactor a server in slow start crashes when it gets more than this multiple of its present capacity
 * @param overloadWindow the time over which the requests are counted for that
 * @param tokenWindow how long a repeat of a write with the same token is dropped
 * @param catchUpRate how many times faster than real time a lagging replica applies the log
 */
public record GroupParameters(
        long replicationDelay,
        long detectionTime,
        long electionTime,
        long handoverTime,
        int cores,
        long meanServiceTime,
        double initialCapacity,
        long slowStartDuration,
        double overloadFactor,
        long overloadWindow,
        long tokenWindow,
        double catchUpRate) {
    private static final long MS = 10; // ticks per millisecond

    private static final long DETECTION_MS = 300;
    private static final long ELECTION_MS = 600;
    private static final long HANDOVER_MS = 300;
    private static final int CORES = 4;
    private static final long MEAN_SERVICE_MS = 8;
    private static final double INITIAL_CAPACITY = 0.3;
    private static final long SLOW_START_MS = 6000;
    private static final double OVERLOAD_FACTOR = 2.5;
    private static final long OVERLOAD_WINDOW_MS = 1000;
    private static final long TOKEN_WINDOW_MS = 5000;
    private static final double CATCH_UP_RATE = 4;

    /** Returns the parameters of a small group with this replication delay, in milliseconds. */
    public static GroupParameters withReplicationDelay(long replicationDelayMs) {
        return new GroupParameters(
                replicationDelayMs * MS,
                DETECTION_MS * MS,
                ELECTION_MS * MS,
                HANDOVER_MS * MS,
                CORES,
                MEAN_SERVICE_MS * MS,
                INITIAL_CAPACITY,
                SLOW_START_MS * MS,
                OVERLOAD_FACTOR,
                OVERLOAD_WINDOW_MS * MS,
                TOKEN_WINDOW_MS * MS,
                CATCH_UP_RATE);
    }
}
