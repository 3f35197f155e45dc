package ploverdale.state;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import ploverdale.model.LoadReport;
import ploverdale.model.SessionId;

/** The last write of each session; past the most kept, all are folded into one floor. Times in tenths of a ms. */
public final class SessionWrites {
    private final int most;
    private final Map<SessionId, Long> last = new HashMap<>();
    private long floor = LoadReport.UNKNOWN_TIME;

    public SessionWrites(int most) {
        this.most = most;
    }

    /** A write without a session is nobody's. */
    public void put(SessionId session, long committedAt) {
        if (session == null) {
            return;
        }
        if (last.size() >= most) {
            floor = Math.max(floor, Collections.max(last.values()));
            last.clear();
        }
        last.put(session, committedAt);
    }

    /** All were committed by then; more is not known of any. */
    public void allBy(long time) {
        floor = time;
        last.clear();
    }

    public long of(SessionId session) {
        return last.getOrDefault(session, floor);
    }
}
