package ploverdale.model;

/**
 * The conditions under which a request may be written to the server that was selected for it. The facts on which the
 * selection rests may no longer hold once a connection has been established.
 *
 * @param deadline the latest time of the write, in {@link Ticks}; {@link Long#MAX_VALUE} if there is none
 * @param reliesOnPosition whether the deadline was computed from a log position, so that it is invalid once the offset
 *     between service time and the servers' wall clock has changed
 * @param reliesOnPrimary whether the server has to be the primary of its group still
 */
public record WriteConditions(long deadline, boolean reliesOnPosition, boolean reliesOnPrimary) {
    /** Returns whether the request may still be written at this time. */
    public boolean isInTime(long now) {
        return now <= deadline;
    }
}
