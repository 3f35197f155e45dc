package ploverdale.model;

/** The name of a client's session. */
public record SessionId(String text) {}
