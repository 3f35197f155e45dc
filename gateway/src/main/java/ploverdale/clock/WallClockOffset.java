package ploverdale.clock;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates how far the wall clock of the database servers is ahead of this gateway's service time. Initially the
 * offset is assumed to be zero, since all machines are expected to have synchronized wall clocks. The positions that
 * servers report bound it:
 *
 * <ul>
 *   <li>No position is later than the server's current time, so (position - time of reading) is a lower bound.
 *   <li>The position of a primary is its current time. What it reports in an answer therefore dates from between the
 *       writing of the query and the reading of the answer, and (position - time of writing) is an upper bound, however
 *       late the answer is read.
 * </ul>
 *
 * <p>A sample that contradicts the earlier ones of the same server replaces them only when the server's next sample
 * confirms it, so a single corrupt answer changes nothing. The servers then vote: the primaries, or, while no primary
 * has answered recently, all servers with their lower bounds. Lower bounds alone can make the offset unknown but cannot
 * set it.
 *
 * <p>When more servers contradict the offset than confirm it, it becomes unknown, and times that other machines report
 * cannot be converted. It becomes known again when a primary confirms it, or when a majority of the primaries agrees on
 * another offset. It is then set to the largest upper bound among them: an offset that is too large makes positions
 * look older than they are, which is safe, whereas one that is too small makes them look fresher.
 *
 * <p>Not thread-safe. Times are tenths of a millisecond of service time unless said otherwise. Does no I/O and reads no
 * clock.
 */
public final class WallClockOffset {
    /**
     * A position that is further in the future than this is corrupt, or else the offset is too small. Smaller values
     * are tolerated, since servers round the positions of commits up.
     */
    public static final long MAX_AHEAD = 500;

    /**
     * An offset that is too large by at most this is kept. It only makes positions look older, whereas lowering the
     * offset could make an old position look fresh. Other gateways reject gossip from a gateway whose clock differs by
     * more.
     */
    public static final long MAX_TOO_LARGE = 5_000;

    /** Positions are whole milliseconds; those of commits are rounded up, others down. */
    private static final long ROUNDING = 10;

    private static final long VOTE_EXPIRES_AFTER = 100_000; // since the server's last sample
    /** How many consistent samples are required of a primary that sets the offset alone. */
    private static final int MIN_SAMPLES = 3;
    /** The time that these samples have to span, so that a primary whose clock has stopped does not set the offset. */
    private static final long MIN_SPAN = 3_000;
    private static final long MILLISECOND = 10;

    /** The bounds of the offset that are consistent with all samples of one server. */
    private static final class Bounds {
        private long lower;
        private long upper; // MAX_VALUE while there is no sample of a primary's current time
        private long firstAt;
        private long lastAt;
        private int samples;
        private Bounds challenger; // bounds by later samples that contradict these; null if none do

        private Bounds(long lower, long upper, long at) {
            this.lower = lower;
            this.upper = upper;
            firstAt = at;
            lastAt = at;
            samples = 1;
        }

        private boolean overlaps(long otherLower, long otherUpper) {
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

    /** Returns whether the offset is known, so that times that other machines report can be converted. */
    public boolean isKnown() {
        return known;
    }

    /**
     * Returns the servers' wall clock minus service time, a whole number of milliseconds; while it is unknown, the last
     * known value.
     */
    public long offset() {
        return offset;
    }

    /** Converts a time of the servers' wall clock to service time. */
    public long toServiceTime(long wall) {
        return wall - offset;
    }

    /** Converts service time to a time of the servers' wall clock. */
    public long toWall(long serviceTime) {
        return serviceTime + offset;
    }

    /** Returns whether a position is too far in the future to be valid; false while the offset is unknown. */
    public boolean isAhead(long wallPosition, long now) {
        return known && toServiceTime(wallPosition) > now + MAX_AHEAD;
    }

    /**
     * Adjusts the bounds of a server, and then the offset, by a position that the server reported in an answer.
     *
     * @param server the identity of the server; has equals and hashCode
     * @param wallPosition on the servers' wall clock; ignored unless it is positive
     * @param writtenAt when the query was written
     * @param now when the answer was read
     * @param currentTime whether the position is the server's time when it answered: true for a primary, unless the
     *     position belongs to a report that was made earlier
     * @return whether the offset has changed or become unknown, so that times converted earlier are invalid
     */
    public boolean observe(Object server, long wallPosition, long writtenAt, long now, boolean currentTime) {
        if (wallPosition <= 0) {
            return false;
        }
        long upper = currentTime ? wallPosition - Math.min(writtenAt, now) + ROUNDING : Long.MAX_VALUE;
        addSample(server, wallPosition - now - ROUNDING, upper, now);
        return updateOffset(now);
    }

    private void addSample(Object server, long lower, long upper, long now) {
        Bounds bounds = servers.get(server);
        if (bounds == null || now - bounds.lastAt > VOTE_EXPIRES_AFTER) {
            servers.put(server, new Bounds(lower, upper, now));
        } else if (bounds.overlaps(lower, upper)) {
            bounds.narrow(lower, upper, now);
            bounds.challenger = null;
        } else if (bounds.challenger != null && bounds.challenger.overlaps(lower, upper)) {
            bounds.challenger.narrow(lower, upper, now);
            servers.put(server, bounds.challenger);
        } else {
            bounds.challenger = new Bounds(lower, upper, now);
        }
    }

    /** Returns the bounds of the servers that vote now, and removes those that have expired. */
    private List<Bounds> voters(long now) {
        servers.values().removeIf(bounds -> now - bounds.lastAt > VOTE_EXPIRES_AFTER);
        List<Bounds> primaries =
                servers.values().stream().filter(Bounds::isOfPrimary).toList();
        return primaries.isEmpty() ? new ArrayList<>(servers.values()) : primaries;
    }

    /**
     * Confirms or replaces the offset, or marks it unknown; returns whether times converted earlier are invalid now.
     */
    private boolean updateOffset(long now) {
        List<Bounds> voters = voters(now);
        long confirming = voters.stream().filter(bounds -> bounds.confirms(offset)).count();
        long contradicting = voters.size() - confirming;
        if (known && contradicting <= confirming) {
            return false;
        }
        if (!known && confirming > 0 && confirming >= contradicting) {
            known = true;
            return false; // nothing was converted while the offset was unknown
        }
        boolean wasKnown = known;
        known = false;
        List<Bounds> agreeing = agreeing(voters);
        if (agreeing.isEmpty()) {
            return wasKnown;
        }
        offset = roundedUp(agreeing.stream().mapToLong(bounds -> bounds.upper).max().orElseThrow());
        known = true;
        return true;
    }

    /**
     * Returns the majority of the voting primaries whose bounds are close to those of the median primary. Returns an
     * empty list if there is no such majority, or if it is a single primary without enough samples. Lower bounds alone
     * do not set the offset, since the replicas that reported them may all lag.
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
                .filter(bounds -> bounds.overlaps(median.lower - MAX_AHEAD, median.upper + MAX_AHEAD))
                .toList();
        boolean steady = median.samples >= MIN_SAMPLES && median.lastAt - median.firstAt >= MIN_SPAN;
        return close.size() * 2 > voters.size() && (close.size() > 1 || steady) ? close : List.of();
    }

    private static long roundedUp(long time) {
        return -Math.floorDiv(-time, MILLISECOND) * MILLISECOND;
    }
}
