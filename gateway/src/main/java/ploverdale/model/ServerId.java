package ploverdale.model;

/** Names a database server. */
public record ServerId(String text) {}
