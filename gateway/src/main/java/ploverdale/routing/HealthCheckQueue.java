package ploverdale.routing;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import ploverdale.state.ServerState;

/**
 * Servers that wait for a health check which nobody else asks for: those just listed, and those whose last check told nothing.
 * Bounds how many checks are out when the next of these is sent. Not thread-safe.
 */
public final class HealthCheckQueue {
    /**
     * Checks out at once. Each opens a connection, which costs an event loop some 0.2 ms: with so many the last is still written
     * within 30 ms, far less than a check may take (250 ms, as long as a connection).
     */
    public static final int IN_FLIGHT_MOST = 128;

    private final Set<ServerState> waiting = new LinkedHashSet<>();
    private int inFlight;

    /** Has a server checked when its turn comes; one that waits already keeps its place. */
    public void add(ServerState server) {
        waiting.add(server);
    }

    /** A check of this server was sent, from this queue or otherwise. */
    public void sent(ServerState server) {
        waiting.remove(server);
        inFlight++;
    }

    /** A check that was sent has ended. */
    public void ended() {
        inFlight--;
    }

    /** Takes the server to be checked next, or null where none waits or enough checks are out. */
    public ServerState next() {
        if (waiting.isEmpty() || inFlight >= IN_FLIGHT_MOST) {
            return null;
        }
        Iterator<ServerState> first = waiting.iterator();
        ServerState server = first.next();
        first.remove();
        return server;
    }
}
