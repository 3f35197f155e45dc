package ploverdale.net.client;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The open sessions, in the order in which they were accepted. Used on the event loop only. */
final class SessionRegistry {
    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    private final List<ClientSession> holdingQuery = new ArrayList<>(); // until queries are run

    /** Adds a session that has been opened. */
    void add(ClientSession session) {
        sessions.add(session);
    }

    /** Forgets a session; does nothing if it is forgotten already. */
    void remove(ClientSession session) {
        holdingQuery.remove(session);
        sessions.remove(session);
    }

    /** The open sessions; a copy, so that they may be closed meanwhile. */
    List<ClientSession> all() {
        return List.copyOf(sessions);
    }

    /** Number of open sessions. */
    int size() {
        return sessions.size();
    }

    /** A session holds a query until queries are run. */
    void addHoldingQuery(ClientSession session) {
        holdingQuery.add(session);
    }

    /** Has the queries run that sessions held, in the order in which they came. */
    void runHeldQueries() {
        holdingQuery.forEach(ClientSession::runHeldQuery);
        holdingQuery.clear();
    }
}
