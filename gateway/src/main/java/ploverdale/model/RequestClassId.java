package ploverdale.model;

/** Place of an op type in the list told at start. */
public record RequestClassId(int index) {}
