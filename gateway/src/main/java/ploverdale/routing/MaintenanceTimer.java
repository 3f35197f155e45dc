package ploverdale.routing;

import ploverdale.model.Action;

/** Sets the timer of the periodic maintenance, so that it runs as early as anything needs it and not more often. */
final class MaintenanceTimer {
    private static final long MARK = 0;

    private final DecisionContext context;
    private long nextAt = Long.MIN_VALUE;

    MaintenanceTimer(DecisionContext context) {
        this.context = context;
    }

    /** Has maintenance run after this span at the latest. */
    void scheduleWithin(long span) {
        long at = context.now() + span;
        if (at < nextAt) {
            nextAt = at;
            context.emit(new Action.SetTimer(at, MARK));
        }
    }

    /** A timer expired: whether maintenance is due. Not where an earlier run has set a later time. */
    boolean isDue() {
        if (context.now() < nextAt) {
            return false;
        }
        nextAt = Long.MAX_VALUE;
        return true;
    }
}
