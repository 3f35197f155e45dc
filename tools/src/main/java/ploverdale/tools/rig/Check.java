package ploverdale.tools.rig;

/** One thing that a scenario shows: its figures, and whether it holds. */
public record Check(String name, String figures, boolean holds) {}
