package ploverdale.tools.rig;

/**
 * The result of one check of a scenario.
 *
 * @param name what is checked
 * @param figures what was measured; on failure also what helps to find the cause
 * @param holds whether the check passed
 */
public record Check(String name, String figures, boolean holds) {}
