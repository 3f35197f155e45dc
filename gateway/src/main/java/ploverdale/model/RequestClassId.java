package ploverdale.model;

/** The index of a request class in the list of the settings. */
public record RequestClassId(int index) {}
