package ploverdale.net.client;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The open sessions, in the order in which they were accepted. Used on the event loop only. */
final class SessionRegistry {
    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    private final List<ClientSession> holdingQuery = new ArrayList<>(); // in order of arrival of the queries

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

    /** Runs the held queries of all sessions, in the order in which they arrived. */
    void runHeldQueries() {
        holdingQuery.forEach(ClientSession::runHeldQuery);
        holdingQuery.clear();
    }
}
