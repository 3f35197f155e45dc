package ploverdale.routing;

import java.util.List;
import ploverdale.model.Action;
import ploverdale.model.Event;
import ploverdale.model.EventHandler;
import ploverdale.model.Quota;
import ploverdale.model.ServerId;
import ploverdale.state.ServerState;
import ploverdale.state.SessionWrites;

/**
 * The entry point of all routing decisions of a gateway. The host (an event loop or a simulator) passes each
 * {@link Event} to {@link #on} with the current time and carries out the returned {@link Action}s in order.
 * docs/design.md describes how the router decides; {@link EventDecisions} shows which class handles which event. Not
 * thread-safe: a router belongs to one event loop. Times are {@link ploverdale.model.Ticks}.
 */
public final class Router {
    /** The maximum number of sessions whose last write is remembered; takes some megabytes. */
    private static final int MAX_SESSIONS = 50_000;

    private final DecisionContext context = new DecisionContext();
    private final ServerDirectory directory = new ServerDirectory();
    private final LocalHealth localHealth = new LocalHealth();
    private final SessionWrites sessionWrites = new SessionWrites(MAX_SESSIONS);
    private EventHandler handler;

    /** @param quota the quota of the shared limits, or null if each gateway takes a fixed, equal part of them */
    public Router(Quota quota) {
        handler = new BeforeStart(
                localHealth,
                started -> handler =
                        new RouterAssembly(context, directory, localHealth, sessionWrites, quota, started).assemble());
    }

    /**
     * Handles an event.
     *
     * @param time the current time; never less than in an earlier call
     * @return the actions to be carried out, in this order
     */
    public List<Action> on(long time, Event event) {
        context.begin(time);
        event.dispatchTo(handler);
        return context.actions();
    }

    /** Returns the number of replica groups that are held in memory. */
    int knownGroups() {
        return directory.groups().size();
    }

    /** Whether requests may be written to this server; false once it is known to be draining or removed. */
    public boolean mayReceive(ServerId server) {
        return directory.isActive(server);
    }

    /** Whether this server is the known primary of its group. */
    public boolean isPrimary(ServerId server) {
        return directory.find(server).filter(ServerState::isPrimary).isPresent();
    }
}
