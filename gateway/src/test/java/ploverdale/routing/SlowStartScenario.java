package ploverdale.routing;

/** Which servers restart, and what else goes wrong. */
enum SlowStartScenario {
    PRIMARY_UNDER_WRITES(0.7, 0.3),
    ONE_REPLICA(0.7, 0.1),
    MOST_SERVERS(0.22, 0.2),
    ALL_SERVERS_AND_FAILURES(0.05, 0.18),
    QUIET_GROUP_THEN_BURST(0.52, 0.12);

    /** Floors of {@link SlowStartFleet.Result#served} and {@link SlowStartFleet.Result#coldServed} in the mean, for fleets of any size. */
    final double leastServed;

    final double leastColdServed;

    SlowStartScenario(double leastServed, double leastColdServed) {
        this.leastServed = leastServed;
        this.leastColdServed = leastColdServed;
    }

    /** Whether the server of this number restarts; the servers of a group have consecutive numbers. */
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
