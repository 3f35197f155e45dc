package ploverdale.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.ref.WeakReference;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import ploverdale.model.LoadReport;
import ploverdale.model.SessionId;

/** The commit that a session's reads must include. */
class SessionWritesTest {
    private static final int LONG_ID = 60_000;
    private static final int MAX_COLLECTIONS = 500;
    private static final SessionId SESSION = new SessionId("till 1");

    private final SessionWrites writes = new SessionWrites(2);

    /** Regression test for a session read without an acknowledged write, after a repeat brought the commit of an earlier one. */
    @Test
    void theLatestCommitCountsAlsoIfAnEarlierOneIsAcknowledgedLater() {
        writes.put(SESSION, 2000);
        writes.put(SESSION, 1000);
        assertThat(writes.of(SESSION)).isEqualTo(2000);
    }

    /** Regression test for the same loss where the sessions had been merged before the late acknowledgement. */
    @Test
    void anEarlierCommitDoesNotUndoTheBoundOfMergedSessions() {
        writes.foldAllInto(3000);
        writes.put(SESSION, 1000);
        assertThat(writes.of(SESSION)).isEqualTo(3000);
        writes.put(SESSION, 4000);
        assertThat(writes.of(SESSION)).isEqualTo(4000);
    }

    @Test
    void anotherWriteOfAKnownSessionMergesNoSessions() {
        writes.put(SESSION, 1000);
        writes.put(new SessionId("till 2"), 2000);
        writes.put(SESSION, 1500);
        assertThat(writes.of(SESSION)).isEqualTo(1500);
        assertThat(writes.of(new SessionId("till 3"))).isEqualTo(LoadReport.UNKNOWN_TIME);
    }

    /** Regression test for memory that clients use up with long keys: only the number of sessions is bounded. */
    @Test
    void theIdOfASessionIsNotKept() throws InterruptedException {
        WeakReference<String> id = new WeakReference<>("k".repeat(LONG_ID));
        writes.put(new SessionId(id.get()), 1000);
        for (int i = 0; i < MAX_COLLECTIONS && id.get() != null; i++) {
            System.gc();
            Thread.sleep(10);
        }
        assertThat(id.get()).isNull();
        assertThat(writes.of(new SessionId("k".repeat(LONG_ID)))).isEqualTo(1000);
    }

    @Test
    void aReadWithoutASessionNeedsOnlyTheBoundOfMergedSessions() {
        writes.put(SESSION, 1000);
        assertThat(writes.of(null)).isEqualTo(LoadReport.UNKNOWN_TIME);
        writes.foldAllInto(3000);
        assertThat(writes.of(null)).isEqualTo(3000);
    }

    @Property
    void noSessionIsEverBehindItsLatestCommit(
            @ForAll @Size(max = 40) List<@LongRange(min = 1, max = 1000) Long> commits,
            @ForAll @IntRange(min = 1, max = 4) int capacity) {
        SessionWrites bounded = new SessionWrites(capacity);
        Map<SessionId, Long> latest = new HashMap<>();
        for (int i = 0; i < commits.size(); i++) {
            SessionId session = new SessionId("till " + i % 5);
            bounded.put(session, commits.get(i));
            latest.merge(session, commits.get(i), Math::max);
        }
        latest.forEach((session, commit) -> assertThat(bounded.of(session)).isGreaterThanOrEqualTo(commit));
    }
}
