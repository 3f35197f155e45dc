package ploverdale.model;

/** Identifies a session by the session key that the client sends with its requests. */
public record SessionId(String value) {}
