package ploverdale.routing;

import java.util.random.RandomGenerator;
import ploverdale.model.Action;
import ploverdale.model.Ticks;

/** Decides when to watch the endpoint list (again), in deployments where it has to be requested. */
final class EndpointWatch {
    private static final long NEVER = Long.MAX_VALUE;
    private static final long MIN_RETRY_DELAY = Ticks.ofMillis(500);
    private static final int MAX_JITTER_MS = 1000;

    private final DecisionContext context;
    private final RandomGenerator random;
    private long dueAt = NEVER;

    EndpointWatch(DecisionContext context, RandomGenerator random) {
        this.context = context;
        this.random = random;
    }

    /** Schedules a request for the endpoint list at the next maintenance run. */
    void begin() {
        dueAt = context.now();
    }

    /** Schedules the next request after one that failed, with jitter so that gateways do not retry at the same time. */
    void retryLater() {
        dueAt = context.now() + MIN_RETRY_DELAY + Ticks.ofMillis(random.nextInt(MAX_JITTER_MS));
    }

    /** Requests the list if it is time to. */
    void watchIfDue() {
        if (context.now() >= dueAt) {
            context.emit(new Action.WatchEndpoints());
            dueAt = NEVER;
        }
    }
}
