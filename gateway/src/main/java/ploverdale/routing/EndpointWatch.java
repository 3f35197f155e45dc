package ploverdale.routing;

import java.util.random.RandomGenerator;
import ploverdale.model.Action;
import ploverdale.model.Ticks;

/** Decides when the endpoint list is watched anew, where it has to be asked for. */
final class EndpointWatch {
    private static final long NEVER = Long.MAX_VALUE;
    private static final long SHORTEST_PAUSE = Ticks.ofMillis(500);
    private static final int JITTER_MILLIS = 1000;

    private final DecisionContext context;
    private final RandomGenerator random;
    private long dueAt = NEVER;

    EndpointWatch(DecisionContext context, RandomGenerator random) {
        this.context = context;
        this.random = random;
    }

    /** The list has to be asked for, first at once. */
    void begin() {
        dueAt = context.now();
    }

    /** Asking brought nothing; it is repeated after a pause with jitter, so that gateways do not ask together. */
    void retryLater() {
        dueAt = context.now() + SHORTEST_PAUSE + Ticks.ofMillis(random.nextInt(JITTER_MILLIS));
    }

    /** Asks if it is time to. */
    void watchIfDue() {
        if (context.now() >= dueAt) {
            context.emit(new Action.WatchEndpoints());
            dueAt = NEVER;
        }
    }
}
