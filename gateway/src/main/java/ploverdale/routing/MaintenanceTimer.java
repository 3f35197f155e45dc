package ploverdale.routing;

import ploverdale.model.Action;

/** Sets the timer for periodic maintenance, so that it runs as early as any component needs it and no more often. */
final class MaintenanceTimer {
    /** The mark that is passed back when the timer fires; there is only this one timer. */
    private static final long TIMER_MARK = 0;

    private final DecisionContext context;
    /** When the next run is scheduled. The initial value makes the first run due at once. */
    private long nextAt = Long.MIN_VALUE;

    MaintenanceTimer(DecisionContext context) {
        this.context = context;
    }

    /**
     * Schedules a run after this time at the latest.
     *
     * @param span in ticks
     */
    void scheduleWithin(long span) {
        long at = context.now() + span;
        if (at < nextAt) {
            nextAt = at;
            context.emit(new Action.SetTimer(at, TIMER_MARK));
        }
    }

    /**
     * Returns whether maintenance is due now that a timer has fired, and clears the schedule if so. False if an earlier
     * run has scheduled a later time.
     */
    boolean isDue() {
        if (context.now() < nextAt) {
            return false;
        }
        nextAt = Long.MAX_VALUE;
        return true;
    }
}
