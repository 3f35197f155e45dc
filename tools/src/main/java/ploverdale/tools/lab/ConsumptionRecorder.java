package ploverdale.tools.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import ploverdale.quota.SharedLimit;

/**
 * What all gateways together spend of one budget, counted where it is spent, and whether that is more than the whole: at any
 * instant for what is in use, in any window for a rate. Times in tenths of a millisecond.
 */
public final class ConsumptionRecorder {
    private static final long WINDOW =
            50_000; // kept for this long; every window that ends now and begins in it is looked at
    private static final double SECOND = 10_000;

    private final SharedLimit budget;
    private final double slack;
    private final Deque<Long> spent = new ArrayDeque<>();
    private final List<String> violations = new ArrayList<>();
    private int inUse;
    private int mostInUse;
    private double worst; // of a rate: most spent in a window, as a share of what may be
    private long all;

    /** @param slack parts by which arrival may be crowded on the way; 0 where the count is at the source */
    public ConsumptionRecorder(SharedLimit budget, double slack) {
        this.budget = budget;
        this.slack = slack;
    }

    /** A part is spent, or taken into use. */
    public void spends(long now, String who) {
        all++;
        if (budget.kind() == SharedLimit.Kind.CONCURRENCY) {
            mostInUse = Math.max(mostInUse, ++inUse);
            if (inUse > budget.capacity()) {
                violations.add(String.format(
                        Locale.ROOT,
                        "%.1f ms: %s takes %s to %d of %d in use",
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
                        "%.1f ms: %s spends %s, %d in %.1f ms, where %.2f may be",
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

    /** A part is in use no more. */
    public void ended() {
        inUse--;
    }

    /** In use now. */
    public int inUse() {
        return inUse;
    }

    /** Each time that it was too much. */
    public List<String> violations() {
        return violations;
    }

    public long all() {
        return all;
    }

    /** The most there was, as a share of what may be. */
    public double worst() {
        return budget.kind() == SharedLimit.Kind.CONCURRENCY
                ? mostInUse / (double) Math.max(1, budget.capacity())
                : worst;
    }
}
