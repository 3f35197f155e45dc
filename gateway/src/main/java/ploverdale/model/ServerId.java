package ploverdale.model;

/** The name of a database server. */
public record ServerId(String text) {}
