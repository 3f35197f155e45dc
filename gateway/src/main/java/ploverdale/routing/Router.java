package ploverdale.routing;

import java.util.List;
import ploverdale.model.Action;
import ploverdale.model.Event;
import ploverdale.model.EventHandler;
import ploverdale.model.Quota;
import ploverdale.model.ServerId;
import ploverdale.state.SessionWrites;

/**
 * The entry point of all decisions of one gateway. The host hands each {@link Event} to {@link #on} with the time and carries out
 * the returned {@link Action}s in their order. The method is described in docs/design.md; {@link EventDecisions} shows which part
 * takes which event. Not thread-safe: it belongs to one event loop. Times are {@link ploverdale.model.Ticks}.
 */
public final class Router {
    private static final int SESSIONS_KEPT = 50_000; // some megabytes

    private final DecisionContext context = new DecisionContext();
    private final ServerDirectory directory = new ServerDirectory();
    private final LocalHealth localHealth = new LocalHealth();
    private final SessionWrites sessionWrites = new SessionWrites(SESSIONS_KEPT);
    private EventHandler handler;

    /** @param quota of what all gateways share, or null: each takes its part of the whole */
    public Router(Quota quota) {
        handler = new BeforeStart(
                localHealth,
                started -> handler =
                        new RouterAssembly(context, directory, localHealth, sessionWrites, quota, started).assemble());
    }

    /**
     * Decides on an event.
     *
     * @param time the current time, which never goes back
     * @return what is to be done, in this order
     */
    public List<Action> on(long time, Event event) {
        context.begin(time);
        event.dispatchTo(handler);
        return context.actions();
    }

    /** Whether requests may still be written to this server: not once it is known to drain or to be removed. */
    public boolean mayReceive(ServerId server) {
        return directory.isActive(server);
    }
}
