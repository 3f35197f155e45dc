package ploverdale.net.client;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The open sessions, in the order in which they were accepted. Used on the event loop only. */
final class SessionRegistry {
    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    private final Deque<ClientSession> holdingQuery = new ArrayDeque<>(); // in order of arrival of the queries

    /** Adds a newly opened session. */
    void add(ClientSession session) {
        sessions.add(session);
    }

    /** Removes a session; does nothing if it has already been removed. */
    void remove(ClientSession session) {
        holdingQuery.remove(session);
        sessions.remove(session);
    }

    /** Returns a copy of the open sessions, so that callers may close sessions while iterating. */
    List<ClientSession> all() {
        return List.copyOf(sessions);
    }

    /** Returns the number of open sessions. */
    int size() {
        return sessions.size();
    }

    /** Records that a session holds a query. */
    void addHoldingQuery(ClientSession session) {
        holdingQuery.add(session);
    }

    /**
     * Runs the held queries of all sessions, in the order in which they arrived. A query may close its own session or
     * another one, which removes that session from those that hold a query.
     */
    void runHeldQueries() {
        while (!holdingQuery.isEmpty()) {
            holdingQuery.poll().runHeldQuery();
        }
    }
}
