package ploverdale.quota;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * What one gateway may spend of one budget: the parts that it holds, each until its time, and what of them is spent or in
 * use. The clock is looked at before each spending; what has lapsed meanwhile counts as lapsed at its own time. Times in
 * tenths of a millisecond.
 */
final class HeldUnits {
    private static final double SECOND = 10_000;
    private static final double FADES_IN = 1000 * 10; // of what was wanted lately

    /** Parts held until a time. */
    private static final class Held {
        private final Object of;
        private int parts;
        private long until;

        private Held(Object of, int parts, long until) {
            this.of = of;
            this.parts = parts;
            this.until = until;
        }
    }

    private final SharedLimit budget;
    private final List<Held> held = new ArrayList<>();
    private double saved; // of a rate
    private long at;
    private int inUse;
    private double wanted; // a second, or at once
    private long wantedAt;
    private long spent;
    private long refused;

    HeldUnits(SharedLimit budget, long now) {
        this.budget = budget;
        at = now;
        wantedAt = now;
    }

    /** From now on so many parts are held of that, until then; 0 parts: none any more. */
    void holds(long now, Object of, int parts, long until) {
        passes(now);
        int before = parts();
        Held h = null;
        for (Held x : held) {
            h = x.of.equals(of) ? x : h;
        }
        if (h == null && parts > 0 && until > now) {
            held.add(new Held(of, parts, until));
        } else if (h != null && (parts == 0 || until <= now)) {
            held.remove(h);
        } else if (h != null) {
            h.parts = parts;
            h.until = until;
        }
        loses(before, parts());
    }

    private int parts() {
        int n = 0;
        for (Held h : held) {
            n += h.parts;
        }
        return n;
    }

    /** What was saved for parts that go, goes with them; parts that come bring nothing saved. */
    private void loses(int before, int after) {
        if (after < before) {
            saved = before == 0 ? 0 : saved * after / before;
        }
    }

    /** Time passes, and what lapses on the way does so at its own time. */
    private void passes(long now) {
        while (true) {
            Held next = null;
            for (Held h : held) {
                next = h.until <= now && (next == null || h.until < next.until) ? h : next;
            }
            long to = next == null ? now : Math.max(at, next.until);
            double most = parts() * budget.maxHoldTime() / SECOND;
            saved = Math.min(most, saved + parts() * Math.max(0, to - at) / SECOND);
            at = Math.max(at, to);
            if (next == null) {
                return;
            }
            int before = parts();
            long lapsed = next.until;
            for (Iterator<Held> i = held.iterator(); i.hasNext(); ) {
                if (i.next().until <= lapsed) {
                    i.remove();
                }
            }
            loses(before, parts());
        }
    }

    /** Parts that may be spent from now on, those in use included. */
    int parts(long now) {
        passes(now);
        return parts();
    }

    int inUse() {
        return inUse;
    }

    /** Spends a part; false where there is none. */
    boolean spend(long now) {
        passes(now);
        boolean is = budget.kind() == SharedLimit.Kind.RATE ? saved >= 1 : inUse < parts();
        if (budget.kind() == SharedLimit.Kind.RATE) {
            saved -= is ? 1 : 0;
            fade(now);
            wanted += SECOND / FADES_IN;
        } else {
            fade(now);
            wanted = Math.max(wanted, inUse + 1);
            inUse += is ? 1 : 0;
        }
        spent += is ? 1 : 0;
        refused += is ? 0 : 1;
        return is;
    }

    /** Whether one more can be taken into use; it is wanted where not. */
    boolean has(long now) {
        passes(now);
        boolean is = inUse < parts();
        if (!is) {
            fade(now);
            wanted = Math.max(wanted, inUse + 1);
            refused++;
        }
        return is;
    }

    /** A part in use is so no more. */
    void ended() {
        inUse--;
    }

    private void fade(long now) {
        wanted *= Math.exp(-Math.max(0, now - wantedAt) / FADES_IN);
        wantedAt = Math.max(wantedAt, now);
    }

    /** Parts that lately would have been spent; more than are held where some were refused. */
    int wanted(long now) {
        fade(now);
        return (int) Math.ceil(wanted - 0.05);
    }

    /** When to ask again, from now: at the next part of a rate; for one in use, after a share of its longest time. */
    long retryAfter(long now) {
        passes(now);
        long whole = budget.maxHoldTime();
        if (budget.kind() == SharedLimit.Kind.CONCURRENCY || parts() == 0) {
            return whole / 4;
        }
        return Math.min(whole, (long) Math.ceil((1 - saved) * SECOND / parts()));
    }

    long spent() {
        return spent;
    }

    long refused() {
        return refused;
    }

    /** All that tells two states apart, for an explorer. */
    String told(long now) {
        passes(now);
        StringBuilder b = new StringBuilder().append(inUse).append(' ').append(Math.round(saved * 100));
        held.forEach(h -> b.append(' ')
                .append(h.of instanceof LeasePartition e ? "e" + e.number : h.of instanceof String t ? t : "b")
                .append('=')
                .append(h.parts)
                .append('@')
                .append(h.until == Long.MAX_VALUE ? -1 : h.until - now));
        return b.toString();
    }
}
