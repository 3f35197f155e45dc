package ploverdale.model;

/** Names one try of an op, as its client sent it. */
public record RequestId(String text) {}
