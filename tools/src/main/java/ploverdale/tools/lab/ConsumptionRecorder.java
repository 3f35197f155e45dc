package ploverdale.tools.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import ploverdale.quota.SharedLimit;

/**
 * Records what all gateways together consume of one shared limit, and checks it against the limit's capacity: at any instant
 * for a concurrency limit, in any window for a rate limit. Times are in tenths of a millisecond.
 */
public final class ConsumptionRecorder {
    /** Longest window over which a rate is checked; every window that ends at an acquisition and is no longer is checked. */
    private static final long WINDOW = 50_000;

    private static final double SECOND = 10_000;

    private final SharedLimit budget;
    private final double slack;
    private final Deque<Long> spent = new ArrayDeque<>();
    private final List<String> violations = new ArrayList<>();
    private int inUse;
    private int mostInUse;

    /** Of a rate limit, the highest consumption in any window as a share of what is allowed there. */
    private double worst;

    private long all;

    /**
     * @param slack units by which a window may exceed a rate because delays on the network bunch them; 0 if units are counted
     *     where they are acquired
     */
    public ConsumptionRecorder(SharedLimit budget, double slack) {
        this.budget = budget;
        this.slack = slack;
    }

    /** Records that a gateway acquired a unit. */
    public void spends(long now, String who) {
        all++;
        if (budget.kind() == SharedLimit.Kind.CONCURRENCY) {
            mostInUse = Math.max(mostInUse, ++inUse);
            if (inUse > budget.capacity()) {
                violations.add(String.format(
                        Locale.ROOT,
                        "%.1f ms: %s acquires %s, %d of %d in use",
                        now / 10.0,
                        who,
                        budget.name(),
                        inUse,
                        budget.capacity()));
            }
            return;
        }
        spent.addLast(now);
        while (now - spent.peekFirst() > WINDOW) {
            spent.pollFirst();
        }
        int n = spent.size();
        for (long first : spent) {
            double may = budget.capacity() * ((now - first) + budget.maxHoldTime()) / SECOND + slack;
            worst = Math.max(worst, n / may);
            if (n > may + 1e-6) {
                violations.add(String.format(
                        Locale.ROOT,
                        "%.1f ms: %s acquires %s, %d in %.1f ms where %.2f are allowed",
                        now / 10.0,
                        who,
                        budget.name(),
                        n,
                        (now - first) / 10.0,
                        may));
                break;
            }
            n--;
        }
    }

    /** Records that a unit of a concurrency limit is no longer in use. */
    public void ended() {
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
    public long all() {
        return all;
    }

    /** Returns the highest consumption as a share of what the limit allows. */
    public double worst() {
        return budget.kind() == SharedLimit.Kind.CONCURRENCY
                ? mostInUse / (double) Math.max(1, budget.capacity())
                : worst;
    }
}
