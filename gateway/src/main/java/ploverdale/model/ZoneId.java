package ploverdale.model;

/** Names a place where servers stand. */
public record ZoneId(int number) {}
