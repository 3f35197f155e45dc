package ploverdale.clock;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How far the wall clock of the database servers is ahead of this gateway's service time. At the start it is taken to
 * be zero, since every machine reads the same wall clock. The positions that servers report bound it:
 *
 * <ul>
 *   <li>no position is later than the server's present, so (position - time of reading) is a lower bound;
 *   <li>a primary stands at the present, so what it reports in an answer dates from between the writing of the query
 *       and the reading of the answer; (position - time of writing) is an upper bound, however late the answer is read.
 * </ul>
 *
 * <p>A sample that contradicts the earlier ones of the same server replaces them only when the next sample
 * confirms it, so a single corrupt answer changes nothing. Primaries vote, and only while none has answered
 * lately, the lower bounds of all servers do; these can put the offset in doubt, but not set it. When more servers
 * contradict the offset than confirm it, it is unknown: points in time that others report cannot be dated. It
 * becomes known again when a primary confirms it, or is set anew when a majority agrees on another one; then to
 * the latest upper bound among them, because an offset that is too large makes positions look older than they are,
 * and one that is too small makes them look fresher.
 *
 * <p>Not thread-safe. Times in tenths of a millisecond, service time unless said otherwise. Does no I/O and reads no
 * clock.
 */
public final class WallClockOffset {
    /** A position further ahead than this is corrupt or says that the offset is too small; commits are rounded up. */
    public static final long MAX_AHEAD = 500;

    /**
     * An offset that is too large by up to this is kept: it costs freshness only, and to lower it is what could make
     * an old position look fresh. Other gateways refuse the gossip of one whose clock differs by more.
     */
    public static final long MAX_TOO_LARGE = 5_000;

    private static final long ROUNDING = 10; // positions are whole milliseconds; a commit is rounded up, others down
    private static final long VOTE_EXPIRES_AFTER = 100_000; // a server that has not reported for longer has no vote
    private static final int MIN_SAMPLES = 3; // of a primary that is the only one to report
    private static final long MIN_SPAN = 3_000; // over which they have to agree; a clock that stopped does not
    private static final long MILLISECOND = 10;

    /** Bounds that one server's samples have in common. */
    private static final class Bounds {
        private long lower;
        private long upper; // MAX_VALUE while no sample was a primary's
        private long firstAt;
        private long lastAt;
        private int samples;
        private Bounds challenger; // later samples that contradict these

        private Bounds(long lower, long upper, long at) {
            this.lower = lower;
            this.upper = upper;
            firstAt = at;
            lastAt = at;
            samples = 1;
        }

        private boolean fits(long otherLower, long otherUpper) {
            return otherLower - ROUNDING <= upper && otherUpper >= lower - ROUNDING;
        }

        private void narrow(long otherLower, long otherUpper, long at) {
            lower = Math.max(lower, otherLower);
            upper = Math.max(lower, Math.min(upper, otherUpper));
            lastAt = at;
            samples++;
        }

        private boolean isOfPrimary() {
            return upper != Long.MAX_VALUE;
        }

        private boolean confirms(long offset) {
            return lower <= offset + MAX_AHEAD && (!isOfPrimary() || upper >= offset - MAX_TOO_LARGE);
        }
    }

    private final Map<Object, Bounds> servers = new HashMap<>();
    private long offset;
    private boolean known = true;

    /** Whether points in time that others report can be dated. */
    public boolean isKnown() {
        return known;
    }

    /**
     * The servers' wall clock minus service time, a whole number of milliseconds; the last known one while it is
     * unknown.
     */
    public long offset() {
        return offset;
    }

    /** A point in time on the servers' wall clock as service time. */
    public long toServiceTime(long wall) {
        return wall - offset;
    }

    /** Service time as a point in time on the servers' wall clock. */
    public long toWall(long serviceTime) {
        return serviceTime + offset;
    }

    /** Whether a position is too far in the future to be one, while the offset is known. */
    public boolean isAhead(long wallPosition, long now) {
        return known && toServiceTime(wallPosition) > now + MAX_AHEAD;
    }

    /**
     * Takes a position that a server reported in an answer.
     *
     * @param server its identity, with equals and hashCode
     * @param wallPosition on the servers' wall clock
     * @param writtenAt when the query was written
     * @param now when the answer was read
     * @param present whether the server is a primary and dated the answer itself
     * @return whether the offset has changed, or has become unknown
     */
    public boolean observe(Object server, long wallPosition, long writtenAt, long now, boolean present) {
        if (wallPosition <= 0) {
            return false;
        }
        long upper = present ? wallPosition - Math.min(writtenAt, now) + ROUNDING : Long.MAX_VALUE;
        add(server, wallPosition - now - ROUNDING, upper, now);
        return judge(now);
    }

    private void add(Object server, long lower, long upper, long now) {
        Bounds bounds = servers.get(server);
        if (bounds == null || now - bounds.lastAt > VOTE_EXPIRES_AFTER) {
            servers.put(server, new Bounds(lower, upper, now));
        } else if (bounds.fits(lower, upper)) {
            bounds.narrow(lower, upper, now);
            bounds.challenger = null;
        } else if (bounds.challenger != null && bounds.challenger.fits(lower, upper)) {
            bounds.challenger.narrow(lower, upper, now);
            servers.put(server, bounds.challenger);
        } else {
            bounds.challenger = new Bounds(lower, upper, now);
        }
    }

    /** The bounds that count now; forgets those that have expired. */
    private List<Bounds> voters(long now) {
        servers.values().removeIf(b -> now - b.lastAt > VOTE_EXPIRES_AFTER);
        List<Bounds> primaries =
                servers.values().stream().filter(Bounds::isOfPrimary).toList();
        return primaries.isEmpty() ? new ArrayList<>(servers.values()) : primaries;
    }

    /** Confirms, doubts or replaces the offset; whether what was dated before has become void. */
    private boolean judge(long now) {
        List<Bounds> voters = voters(now);
        long confirming = voters.stream().filter(b -> b.confirms(offset)).count();
        long contradicting = voters.size() - confirming;
        if (known && contradicting <= confirming) {
            return false;
        }
        if (!known && confirming > 0 && confirming >= contradicting) {
            known = true;
            return false; // nothing was dated meanwhile
        }
        boolean wasKnown = known;
        known = false;
        List<Bounds> agreeing = agreeing(voters);
        if (agreeing.isEmpty()) {
            return wasKnown;
        }
        offset = roundedUp(agreeing.stream().mapToLong(b -> b.upper).max().orElseThrow());
        known = true;
        return true;
    }

    /**
     * The majority of the voting primaries whose bounds are close to the median one's; empty while they are too few to
     * go by. Lower bounds alone set nothing: the replicas that reported them may all lag.
     */
    private static List<Bounds> agreeing(List<Bounds> voters) {
        List<Bounds> sorted = voters.stream()
                .filter(Bounds::isOfPrimary)
                .sorted((a, b) -> Long.compare(a.lower, b.lower))
                .toList();
        if (sorted.isEmpty()) {
            return List.of();
        }
        Bounds median = sorted.get(sorted.size() / 2);
        List<Bounds> close = sorted.stream()
                .filter(b -> b.fits(median.lower - MAX_AHEAD, median.upper + MAX_AHEAD))
                .toList();
        boolean steady = median.samples >= MIN_SAMPLES && median.lastAt - median.firstAt >= MIN_SPAN;
        return close.size() * 2 > voters.size() && (close.size() > 1 || steady) ? close : List.of();
    }

    private static long roundedUp(long time) {
        return -Math.floorDiv(-time, MILLISECOND) * MILLISECOND;
    }
}
