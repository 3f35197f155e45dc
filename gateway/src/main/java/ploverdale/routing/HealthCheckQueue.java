package ploverdale.routing;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import ploverdale.state.ServerState;

/**
 * Servers that wait for a health check that no request needs: those just listed, and those whose last check was inconclusive. Bounds
 * how many checks are in flight when the next of these is sent. Not thread-safe.
 */
final class HealthCheckQueue {
    /**
     * Checks in flight at once. Each opens a connection, which costs an event loop some 0.2 ms: with so many the last is still
     * written within 30 ms, far less than a check may take (250 ms, as long as a connection).
     */
    static final int MOST_IN_FLIGHT = 128;

    private final Set<ServerState> waiting = new LinkedHashSet<>();
    private int inFlight;

    /** Has a server checked when its turn comes; one that waits already keeps its place. */
    void add(ServerState server) {
        waiting.add(server);
    }

    /** A check of this server was sent, from this queue or otherwise. */
    void sent(ServerState server) {
        waiting.remove(server);
        inFlight++;
    }

    /** A check that was sent has ended. */
    void ended() {
        inFlight--;
    }

    /** Takes the server to be checked next, or null where none waits or enough checks are out. */
    ServerState next() {
        if (waiting.isEmpty() || inFlight >= MOST_IN_FLIGHT) {
            return null;
        }
        Iterator<ServerState> oldestFirst = waiting.iterator();
        ServerState server = oldestFirst.next();
        oldestFirst.remove();
        return server;
    }
}
