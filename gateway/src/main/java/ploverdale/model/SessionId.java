package ploverdale.model;

/** Names a client's session. */
public record SessionId(String text) {}
