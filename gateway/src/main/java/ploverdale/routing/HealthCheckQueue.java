package ploverdale.routing;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import ploverdale.state.ServerState;

/**
 * Servers waiting for a health check that no request needs: newly listed ones, and those whose last check was
 * inconclusive. A queued check is sent only while fewer than {@link #MAX_IN_FLIGHT} checks are in flight. Not
 * thread-safe.
 */
final class HealthCheckQueue {
    /**
     * Maximum number of checks in flight when a queued one is sent. Each check opens a connection, which costs the
     * event loop about 0.2 ms. With 128 checks the last one is written within 30 ms, far less than the time limit of a
     * check (250 ms, the same as for a connection).
     */
    static final int MAX_IN_FLIGHT = 128;

    /** In order of arrival. */
    private final Set<ServerState> waiting = new LinkedHashSet<>();

    private int inFlight;

    /** Adds a server to the queue; one that is already waiting keeps its position. */
    void add(ServerState server) {
        waiting.add(server);
    }

    /** Records that a check of this server was sent, from this queue or otherwise. */
    void sent(ServerState server) {
        waiting.remove(server);
        inFlight++;
    }

    /** Records that a check has ended. */
    void ended() {
        inFlight--;
    }

    /**
     * Removes the server that is to be checked next and returns it; null if none is waiting or too many checks are in
     * flight.
     */
    ServerState next() {
        if (waiting.isEmpty() || inFlight >= MAX_IN_FLIGHT) {
            return null;
        }
        Iterator<ServerState> oldestFirst = waiting.iterator();
        ServerState server = oldestFirst.next();
        oldestFirst.remove();
        return server;
    }
}
