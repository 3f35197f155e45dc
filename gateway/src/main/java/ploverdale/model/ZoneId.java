package ploverdale.model;

/** The number of a zone in which servers run. */
public record ZoneId(int number) {}
