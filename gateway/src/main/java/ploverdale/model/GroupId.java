package ploverdale.model;

/** Names a group: one primary and its replicas. */
public record GroupId(long number) {}
