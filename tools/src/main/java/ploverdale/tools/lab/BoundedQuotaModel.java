package ploverdale.tools.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import ploverdale.membership.Packet;
import ploverdale.membership.PacketCodec;
import ploverdale.membership.PacketQueue;
import ploverdale.quota.LeaseDurations;
import ploverdale.quota.QuotaAllocation;
import ploverdale.quota.QuotaProtocol;
import ploverdale.quota.SharedLimit;

/**
 * A world small enough to try all that can happen in it: three gateways, four parts, time in steps, and faults that are
 * given and not drawn. One clock runs slow and one fast. The classes are those of a gateway. In each step all messages come
 * in their order but for the one that a fault names.
 */
public final class BoundedQuotaModel {
    /** What goes wrong in a step. */
    public enum Kind {
        DROP,
        LATE,
        TWICE,
        KILL,
        STOP,
        CUT
    }

    /** One fault: of a message, which one of the step; of a gateway, which one. */
    public record Fault(int step, Kind kind, int which) {}

    /** Who wants parts in each step: bit by bit. */
    public record Demand(int[] byStep) {
        int at(int step) {
            return byStep[step % byStep.length];
        }
    }

    public static final int GATEWAYS = 3;
    public static final int WHOLE = 4;
    public static final int FROM = 12; // a step at which each is the steward of its estate
    public static final int STEPS = 30;
    public static final int MESSAGES = 20; // of a step that a fault may be of; there are hardly more
    private static final int HEALS = 60; // steps without faults, at the end
    private static final long STEP = 1000; // tenths of a millisecond
    private static final int STOPPED = 8; // steps, longer than any lease; the same for one that is cut off
    private static final int DEAD = 2;
    private static final long USE = 3300;

    private record Message(int from, long start, int to, byte[] bytes) {}

    private final class Gateway {
        private final int number;
        private final double rate;
        private QuotaProtocol budgets;
        private PacketQueue packing;
        private long start;
        private int stoppedFor;
        private int cutUntil;
        private int deadFor;
        private int owes; // parts whose use has ended while it stood still
        private final List<Message> held = new ArrayList<>();

        private Gateway(int number) {
            this.number = number;
            rate = 1 + (number - 1) * drift;
            starts();
        }

        private long local() {
            return 5_000 + (long) (step * STEP * rate);
        }

        private void starts() {
            start += startsAlike ? 0 : 1;
            budgets = new QuotaProtocol(number, start, division, leaseDurations, new SplittableRandom(number), local());
            packing = new PacketQueue(1e9, local());
        }

        private boolean runs() {
            return budgets != null && stoppedFor == 0;
        }

        private void sends() {
            for (PacketQueue.OutboundPacket l : packing.drain(local(), start, 1)) {
                onTheWay.add(new Message(number, start, l.to(), l.bytes()));
            }
        }

        private void hears(Message m) {
            if (budgets == null) {
                return;
            }
            if (stoppedFor > 0) {
                held.add(m);
                return;
            }
            for (Packet.Part p : PacketCodec.decode(m.bytes).parts()) {
                budgets.onMessage(local(), m.from, m.start, p, packing);
            }
            sends();
        }
    }

    /** A part in use. */
    private record Use(int gateway, long start, long until) {}

    private final QuotaAllocation division;
    private final LeaseDurations leaseDurations;
    private final double drift;
    private final boolean startsAlike;
    private final List<Gateway> gateways = new ArrayList<>();
    private final Deque<Message> onTheWay = new ArrayDeque<>();
    private final List<Message> late = new ArrayList<>();
    private final List<Use> uses = new ArrayList<>();
    private int step;
    private int most;

    /**
     * @param told for how long the budget says a part may be in use; too short a time is a mistake that must be found
     * @param startsAlike whether a process that was killed speaks as the one before it, another such mistake
     */
    private BoundedQuotaModel(LeaseDurations leaseDurations, double drift, long told, boolean startsAlike) {
        this.startsAlike = startsAlike;
        this.leaseDurations = leaseDurations;
        this.drift = drift;
        division = new QuotaAllocation(
                List.of(new SharedLimit("server", SharedLimit.Kind.CONCURRENCY, WHOLE, told)), GATEWAYS, 0);
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(new Gateway(i));
        }
    }

    /** Leases that suit this world. */
    public static LeaseDurations leaseDurations(double clocksApart) {
        return new LeaseDurations(3 * STEP, 3 * STEP, clocksApart);
    }

    /** For how long a part is in use here. */
    public static long holdTime() {
        return USE;
    }

    /** Plays it; null if all is well, or what was not: too much in use, or parts lost for ever. */
    public static String run(
            LeaseDurations leaseDurations,
            double drift,
            long told,
            boolean startsAlike,
            Demand demand,
            List<Fault> faults) {
        BoundedQuotaModel w = new BoundedQuotaModel(leaseDurations, drift, told, startsAlike);
        for (int s = 0; s < STEPS + HEALS; s++) {
            List<Fault> now = new ArrayList<>();
            for (Fault f : faults) {
                if (f.step == s) {
                    now.add(f);
                }
            }
            w.step(now, s < STEPS + HEALS / 2 ? demand.at(s) : 0);
            if (w.most > WHOLE) {
                return "step " + s + ": " + w.most + " of " + WHOLE + " in use";
            }
        }
        int parts = 0;
        for (Gateway g : w.gateways) {
            parts += g.budgets.heldUnits(g.local(), 0);
        }
        return parts == WHOLE ? null : parts + " of " + WHOLE + " parts left";
    }

    private void step(List<Fault> faults, int wants) {
        step++;
        for (Fault f : faults) {
            Gateway g = gateways.get(f.which % GATEWAYS);
            if (f.kind == Kind.KILL && g.budgets != null) {
                g.budgets = null;
                g.held.clear();
                g.stoppedFor = 0;
                g.owes = 0;
                g.deadFor = DEAD;
            } else if (f.kind == Kind.STOP && g.runs()) {
                g.stoppedFor = STOPPED;
            } else if (f.kind == Kind.CUT) {
                g.cutUntil = step + STOPPED;
            }
        }
        for (Gateway g : gateways) {
            if (g.budgets == null && g.deadFor-- == 0) {
                g.starts();
            } else if (g.stoppedFor > 0 && --g.stoppedFor == 0) {
                for (; g.owes > 0; g.owes--) {
                    g.budgets.release(0);
                }
                List<Message> all = List.copyOf(g.held);
                g.held.clear();
                all.forEach(g::hears);
            }
        }
        ends();
        onTheWay.addAll(late);
        late.clear();
        for (Gateway g : gateways) {
            if (g.runs()) {
                g.budgets.onTick(g.local(), i -> gateways.get(i).budgets != null, g.packing);
                g.sends();
            }
        }
        carry(faults);
        for (Gateway g : gateways) {
            while (g.runs() && (wants >> g.number & 1) == 1 && g.budgets.tryAcquire(g.local(), 0)) {
                uses.add(new Use(g.number, g.start, step * STEP + (long) (USE / g.rate)));
            }
        }
        most = Math.max(most, uses.size());
    }

    private void ends() {
        uses.removeIf(u -> {
            boolean over = u.until <= step * STEP;
            Gateway g = gateways.get(u.gateway);
            if (over && g.budgets != null && g.start == u.start) {
                if (g.stoppedFor > 0) {
                    g.owes++;
                } else {
                    g.budgets.release(0);
                }
            }
            return over;
        });
    }

    private void carry(List<Fault> faults) {
        for (int n = 0; !onTheWay.isEmpty(); n++) {
            Message m = onTheWay.poll();
            boolean comes = step >= gateways.get(m.from).cutUntil && step >= gateways.get(m.to).cutUntil;
            for (Fault f : faults) {
                if (f.which == n && f.kind.ordinal() <= Kind.TWICE.ordinal()) {
                    comes &= f.kind == Kind.TWICE;
                    if (f.kind != Kind.DROP) {
                        late.add(m);
                    }
                }
            }
            if (comes) {
                gateways.get(m.to).hears(m);
            }
        }
    }
}
