package ploverdale.model;

/** Identifies a replica group, which is a primary and its replicas. */
public record GroupId(long number) {}
