package ploverdale.model;

/**
 * One server in the endpoint list.
 *
 * @param zone where the server runs
 * @param primary whether the list takes the server for its group's primary
 * @param startedAt when the server started; 0 for long ago
 */
public record Endpoint(
        ServerId server, GroupId group, ZoneId zone, EndpointState state, boolean primary, long startedAt) {

    /** Whether a server may get requests; the names stand in log lines. */
    public enum EndpointState {
        /** In service. */
        IN,
        /** Finishes what it has and takes nothing new. */
        DRAINING,
        /** Removed from the list. */
        GONE
    }
}
