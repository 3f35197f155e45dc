package ploverdale.model;

/** Identifies one submission of a request; its value is the one that the client sent. */
public record RequestId(String value) {}
