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
 * A bounded model of the quota protocol that is small enough for exhaustive exploration: three gateways share a limit of
 * four units, time advances in steps, and faults are given by the caller instead of being random. One gateway's clock runs
 * slow and one runs fast. The model runs the gateway's own classes. In each step all messages are delivered in the order in
 * which they were sent, except those that a fault affects. Times are in tenths of a millisecond.
 */
public final class BoundedQuotaModel {
    /** Kinds of faults. The first three affect a message, the others a gateway; this order is relied on. */
    public enum Kind {
        /** The message is lost. */
        DROP,
        /** The message is delivered one step late. */
        LATE,
        /** The message is delivered at once and again in the next step. */
        TWICE,
        /** The process is killed, and started again a few steps later. */
        KILL,
        /** The process is paused for longer than any lease lasts. */
        STOP,
        /** All messages from and to the gateway are lost for longer than any lease lasts. */
        CUT
    }

    /**
     * One fault.
     *
     * @param step the step in which it occurs
     * @param which index of the affected message among those delivered in the step, or index of the affected gateway
     */
    public record Fault(int step, Kind kind, int which) {}

    /**
     * The gateways that acquire units in each step; the sequence repeats.
     *
     * @param byStep for each step a bit mask in which bit i stands for gateway i
     */
    public record Demand(int[] byStep) {
        int at(int step) {
            return byStep[step % byStep.length];
        }
    }

    public static final int GATEWAYS = 3;

    /** Capacity of the shared limit, in units. */
    public static final int WHOLE = 4;

    /** First step with faults; by then each gateway holds the lease of its own partition. */
    public static final int FROM = 12;

    /** First step after those with faults. */
    public static final int STEPS = 30;

    /** Number of messages of a step that a fault may affect; a step rarely has more. */
    public static final int MESSAGES = 20;

    /** Steps without faults at the end of a run. */
    private static final int HEALS = 60;

    /** Length of a step. */
    private static final long STEP = 1000;

    /** Steps for which a gateway is paused or cut off; longer than any lease. */
    private static final int STOPPED = 8;

    /** Steps from a kill to the restart. */
    private static final int DEAD = 2;

    /** How long a unit stays in use, by the clock of the gateway that acquired it. */
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
        /** Units that became free while the process was paused; it releases them when it resumes. */
        private int owes;

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

    /** A unit in use until the given simulated time. */
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
     * @param drift the share by which gateway 0's clock runs slow and gateway 2's runs fast
     * @param told the longest hold time that the shared limit declares; a value below the real one is a deliberate defect
     *     that exploration must find
     * @param startsAlike whether a restarted process uses the same epoch as the one before it, another deliberate defect
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

    /** Returns lease durations that fit the steps of this model. */
    public static LeaseDurations leaseDurations(double clocksApart) {
        return new LeaseDurations(3 * STEP, 3 * STEP, clocksApart);
    }

    /** Returns how long a unit stays in use in this model. */
    public static long holdTime() {
        return USE;
    }

    /**
     * Runs the model once.
     *
     * @return null if no rule was violated; otherwise a description: more units in use than the capacity, or units that
     *     were still missing at the end, long after the last fault
     */
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
        return parts == WHOLE ? null : parts + " of " + WHOLE + " units left";
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
