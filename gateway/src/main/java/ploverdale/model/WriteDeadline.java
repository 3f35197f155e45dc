package ploverdale.model;

/**
 * The latest time at which a request may be written to the server that was selected for it. The facts on which the
 * selection rests may no longer hold once a connection has been established.
 *
 * @param at the time, in {@link Ticks}; {@link Long#MAX_VALUE} if there is none
 * @param reliesOnPosition whether it was computed from a log position, so that it is invalid once the offset between
 *     service time and the servers' wall clock has changed
 */
public record WriteDeadline(long at, boolean reliesOnPosition) {
    /** Returns whether the request may still be written. */
    public boolean isMet(long now) {
        return now <= at;
    }
}
