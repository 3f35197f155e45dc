package ploverdale.routing;

/** Which servers restart in a run of {@link SlowStartFleet}, and which further faults or bursts it has. */
enum SlowStartScenario {
    /** The primary of the first group restarts. */
    PRIMARY_UNDER_WRITES(0.7, 0.3),
    /** A replica of the first group restarts. */
    ONE_REPLICA(0.7, 0.1),
    /** The servers of all groups except the first restart. */
    MOST_SERVERS(0.22, 0.2),
    /** All servers restart, and some attempts at them fail at once. */
    ALL_SERVERS_AND_FAILURES(0.05, 0.18),
    /** The servers of the first group restart while it gets few requests; then a burst of requests arrives for it. */
    QUIET_GROUP_THEN_BURST(0.52, 0.12);

    /** Minimum of the mean of {@link SlowStartFleet.Result#served}, for fleets of any size. */
    final double minServed;

    /** Minimum of the mean of {@link SlowStartFleet.Result#usedCapacity}, for fleets of any size. */
    final double minUsedCapacity;

    SlowStartScenario(double minServed, double minUsedCapacity) {
        this.minServed = minServed;
        this.minUsedCapacity = minUsedCapacity;
    }

    /** Whether the server with this number restarts. The servers of a group have consecutive numbers. */
    boolean restarts(int server, int groupSize) {
        return switch (this) {
            case PRIMARY_UNDER_WRITES -> server == 0;
            case ONE_REPLICA -> server == 1;
            case QUIET_GROUP_THEN_BURST -> server < groupSize;
            case MOST_SERVERS -> server >= groupSize;
            case ALL_SERVERS_AND_FAILURES -> true;
        };
    }
}
