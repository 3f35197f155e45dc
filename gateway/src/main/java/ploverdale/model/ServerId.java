package ploverdale.model;

/** Identifies a database server by its name in the endpoint list. */
public record ServerId(String value) {}
