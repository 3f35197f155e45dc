package ploverdale.model;

/** Identifies a request class by its index in the list of the settings. */
public record RequestClassId(int index) {}
