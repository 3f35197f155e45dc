package ploverdale.model;

/** One server in the list of servers. A start time of 0 means long ago. */
public record Endpoint(
        ServerId server, GroupId group, ZoneId zone, EndpointState stage, boolean primary, long startedAt) {

    /** Where a server stands in its life. */
    public enum EndpointState {
        IN,
        DRAINING,
        GONE
    }
}
