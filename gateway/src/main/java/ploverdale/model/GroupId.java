package ploverdale.model;

/** The number of a replica group: one primary and its replicas. */
public record GroupId(long number) {}
