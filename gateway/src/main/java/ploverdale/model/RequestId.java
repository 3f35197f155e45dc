package ploverdale.model;

/** The name of one submission of a request, as its client sent it. */
public record RequestId(String text) {}
