package ploverdale.model;

/** Identifies a zone, which is a failure domain in which servers run. */
public record ZoneId(int number) {}
