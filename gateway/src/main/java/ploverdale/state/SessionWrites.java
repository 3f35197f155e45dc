package ploverdale.state;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.UUID;
import ploverdale.model.LoadReport;
import ploverdale.model.SessionId;

/**
 * The latest commit time of each session's writes. Bounded: when the capacity is reached, all sessions are merged into
 * one lower bound that holds for each of them. Of a session's id, which a client chooses and may make long, only a hash is
 * kept; two sessions with the same hash would only make each other's reads wait for the later commit.
 */
public final class SessionWrites {
    private final int capacity;
    private final Map<UUID, Long> committedAt = new HashMap<>(); // by a hash of the session's id
    private long lowerBound = LoadReport.UNKNOWN_TIME;

    /** @param capacity how many sessions are tracked individually */
    public SessionWrites(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Records that a write of the session was committed. Ignored if the session is null. Acknowledgements may arrive in
     * another order than that of the commits, so the latest commit is kept, whichever was recorded last.
     */
    public void put(SessionId session, long time) {
        if (session == null) {
            return;
        }
        UUID hash = hash(session);
        if (committedAt.size() >= capacity && !committedAt.containsKey(hash)) {
            lowerBound = Math.max(lowerBound, Collections.max(committedAt.values()));
            committedAt.clear();
        }
        committedAt.merge(hash, time, Math::max);
    }

    /**
     * Replaces all commit times by one lower bound: each write was committed by this time, but when is no longer known.
     */
    public void foldAllInto(long time) {
        lowerBound = time;
        committedAt.clear();
    }

    /**
     * Returns the commit time that a read of this session must include; {@link LoadReport#UNKNOWN_TIME} if there is
     * none.
     *
     * @param session the session, or null for none
     */
    public long of(SessionId session) {
        return session == null ? lowerBound : Math.max(lowerBound, committedAt.getOrDefault(hash(session), lowerBound));
    }

    private static UUID hash(SessionId session) {
        return UUID.nameUUIDFromBytes(session.value().getBytes(UTF_8));
    }
}
