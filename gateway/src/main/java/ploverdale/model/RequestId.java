package ploverdale.model;

/** Identifies one submission of a request; the text is the one that the client sent. */
public record RequestId(String text) {}
