package ploverdale.state;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import ploverdale.model.LoadReport;
import ploverdale.model.SessionId;

/**
 * When the last write of each session was committed. Bounded: when the capacity is reached, all sessions are folded into one lower
 * bound that holds for each of them.
 */
public final class SessionWrites {
    private final int capacity;
    private final Map<SessionId, Long> committedAt = new HashMap<>();
    private long lowerBound = LoadReport.UNKNOWN_TIME;

    /** @param capacity how many sessions are kept one by one */
    public SessionWrites(int capacity) {
        this.capacity = capacity;
    }

    /** A write of the session was committed; a write without a session (null) concerns none. */
    public void put(SessionId session, long time) {
        if (session == null) {
            return;
        }
        if (committedAt.size() >= capacity) {
            lowerBound = Math.max(lowerBound, Collections.max(committedAt.values()));
            committedAt.clear();
        }
        committedAt.put(session, time);
    }

    /** All writes so far were committed by this time; when each was is no longer known. */
    public void foldAllInto(long time) {
        lowerBound = time;
        committedAt.clear();
    }

    /** The commit time that a read of this session must include; unknown where there is none. */
    public long of(SessionId session) {
        return committedAt.getOrDefault(session, lowerBound);
    }
}
