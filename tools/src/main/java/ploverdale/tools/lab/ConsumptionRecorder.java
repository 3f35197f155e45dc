package ploverdale.tools.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import ploverdale.quota.SharedLimit;

/**
 * Records what all gateways together consume of one shared limit, and checks it against the limit's capacity: at
 * any instant for a concurrency limit, in any window for a rate limit. Times are in tenths of a millisecond.
 */
public final class ConsumptionRecorder {
    /**
     * Longest window over which a rate is checked; every window that ends at an acquisition and is no longer is
     * checked.
     */
    private static final long MAX_WINDOW_TICKS = 50_000;

    private static final double TICKS_PER_SECOND = 10_000;

    private final SharedLimit limit;
    private final double slack;
    private final Deque<Long> acquiredAt = new ArrayDeque<>();
    private final List<String> violations = new ArrayList<>();
    private int inUse;
    private int peakInUse;

    /** Of a rate limit, the highest consumption in any window as a share of what is allowed there. */
    private double peakShare;

    private long total;

    /**
     * @param slack units by which a window may exceed a rate because delays on the network bunch them; 0 if units
     *     are counted where they are acquired
     */
    public ConsumptionRecorder(SharedLimit limit, double slack) {
        this.limit = limit;
        this.slack = slack;
    }

    /** Records that a gateway acquired a unit. */
    public void recordAcquired(long now, String gateway) {
        total++;
        if (limit.kind() == SharedLimit.Kind.CONCURRENCY) {
            peakInUse = Math.max(peakInUse, ++inUse);
            if (inUse > limit.capacity()) {
                violations.add(String.format(
                        Locale.ROOT,
                        "%.1f ms: %s acquires %s, %d of %d in use",
                        now / 10.0,
                        gateway,
                        limit.name(),
                        inUse,
                        limit.capacity()));
            }
            return;
        }
        acquiredAt.addLast(now);
        while (now - acquiredAt.peekFirst() > MAX_WINDOW_TICKS) {
            acquiredAt.pollFirst();
        }
        int unitsInWindow = acquiredAt.size();
        for (long windowStart : acquiredAt) {
            double allowed = limit.capacity() * ((now - windowStart) + limit.maxHoldTime()) / TICKS_PER_SECOND + slack;
            peakShare = Math.max(peakShare, unitsInWindow / allowed);
            if (unitsInWindow > allowed + 1e-6) {
                violations.add(String.format(
                        Locale.ROOT,
                        "%.1f ms: %s acquires %s, %d in %.1f ms where %.2f are allowed",
                        now / 10.0,
                        gateway,
                        limit.name(),
                        unitsInWindow,
                        (now - windowStart) / 10.0,
                        allowed));
                break;
            }
            unitsInWindow--;
        }
    }

    /** Records that a unit of a concurrency limit is no longer in use. */
    public void recordReleased() {
        inUse--;
    }

    /** Returns the number of units that are in use. */
    public int inUse() {
        return inUse;
    }

    /** Returns a description of each time that the limit was exceeded. */
    public List<String> violations() {
        return violations;
    }

    /** Returns the number of units that have been acquired. */
    public long total() {
        return total;
    }

    /** Returns the highest consumption as a share of what the limit allows. */
    public double peakShare() {
        return limit.kind() == SharedLimit.Kind.CONCURRENCY
                ? peakInUse / (double) Math.max(1, limit.capacity())
                : peakShare;
    }
}
