package ploverdale.membership;

/**
 * Arithmetic of incarnation numbers. The high bits name a start of the process (Unix ms of the start), the low
 * {@value #REFUTATION_BITS} bits count the refutations of that start, so one comparison orders both.
 */
public final class Incarnation {
    private static final int REFUTATION_BITS = 7;

    private Incarnation() {}

    /**
     * The first incarnation of a process.
     *
     * @param startedMs Unix ms
     */
    static long first(long startedMs) {
        return startedMs << REFUTATION_BITS;
    }

    /**
     * Which start of the process an incarnation belongs to: the same for all packets of one process, and unlike that of any
     * other process of the same name.
     */
    public static long startOf(long incarnation) {
        return incarnation >>> REFUTATION_BITS;
    }

    /**
     * The incarnation with which a member overrides an update about itself.
     *
     * @param own the member's incarnation so far
     * @param claimed that of the update; of another start where an earlier process of the name had a clock that was ahead
     */
    static long refuting(long own, long claimed) {
        return startOf(claimed) == startOf(own) ? claimed + 1 : first(startOf(claimed) + 1);
    }
}
