package ploverdale.membership;

/**
 * Arithmetic of incarnation numbers. The high bits identify a start of the process by its time in Unix milliseconds.
 * The low {@value #REFUTATION_BITS} bits count the refutations since that start. So comparing two numbers orders them
 * by start first and by refutation second.
 */
public final class Incarnation {
    private static final int REFUTATION_BITS = 7;

    private Incarnation() {}

    /**
     * Returns the first incarnation of a process.
     *
     * @param startedMs start time of the process in Unix milliseconds
     */
    static long first(long startedMs) {
        return startedMs << REFUTATION_BITS;
    }

    /**
     * Returns the start that an incarnation belongs to. It is the same for all packets of a process until the process
     * refutes an update about a later start, and differs between processes that run as the same gateway.
     */
    public static long startOf(long incarnation) {
        return incarnation >>> REFUTATION_BITS;
    }

    /**
     * Returns the incarnation with which a member refutes an update about itself.
     *
     * @param own the current incarnation of the member
     * @param claimed the incarnation in the update; it belongs to another start if an earlier process of this gateway
     *     had a clock that was ahead
     */
    static long refuting(long own, long claimed) {
        return startOf(claimed) == startOf(own) ? claimed + 1 : first(startOf(claimed) + 1);
    }
}
