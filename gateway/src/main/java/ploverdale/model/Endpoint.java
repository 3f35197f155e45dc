package ploverdale.model;

/**
 * A server in the endpoint list.
 *
 * @param zone the zone in which the server runs
 * @param primary whether the endpoint list names the server as the primary of its group
 * @param startedAt when the server started, in {@link Ticks}; 0 if that was long ago
 */
public record Endpoint(
        ServerId server, GroupId group, ZoneId zone, EndpointState state, boolean primary, long startedAt) {

    /** The listed state of a server. The names of the constants are written to log lines. */
    public enum EndpointState {
        /** In service. */
        IN,
        /** Finishes the requests that it has and must not get new ones. */
        DRAINING,
        /** Removed from the list. */
        GONE
    }
}
