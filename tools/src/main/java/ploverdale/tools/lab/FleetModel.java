package ploverdale.tools.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import ploverdale.membership.Incarnation;
import ploverdale.membership.Membership;
import ploverdale.membership.Packet;
import ploverdale.membership.PacketCodec;
import ploverdale.membership.PacketQueue;
import ploverdale.quota.LeaseDurations;
import ploverdale.quota.QuotaAllocation;
import ploverdale.quota.QuotaProtocol;
import ploverdale.quota.SharedLimit;

/**
 * Instances of membership and budgets in simulated time, with clocks of their own that run fast or slow, datagrams that are
 * lost, doubled and late, and processes that are killed, stopped and started. What is spent is counted from outside. Times in
 * tenths of a millisecond.
 */
public final class FleetModel {
    private static final long MS = 10;
    private static final long LOOK = 20 * MS; // each instance, by its own clock
    private static final long STEPS_MS = 1_700_000_000_000L; // a Unix time to begin with; only differences matter
    private static final int HELD_WHILE_STOPPED = 200; // datagrams; the system keeps so many

    /**
     * The world.
     *
     * @param drift by which clocks run fast or slow, at most, as a share
     * @param delay of a datagram, at most
     */
    public record Settings(
            QuotaAllocation division,
            LeaseDurations leaseDurations,
            double drift,
            double loss,
            double twice,
            long delay,
            double bytesPerSecond) {}

    /** One instance; it may be dead or stopped. */
    public final class Instance {
        private final int number;
        private final double rate;
        private final long zero;
        private Membership membership;
        private QuotaProtocol budgets;
        private PacketQueue packing;
        private boolean stopped;
        private int process; // counts its starts
        private final List<Runnable> held = new ArrayList<>();
        private long bytes;

        private Instance(int number) {
            this.number = number;
            rate = 1 + world.drift * (2 * random.nextDouble() - 1);
            zero = random.nextLong(1_000_000_000L);
        }

        /** Its own clock: it never steps, and says nothing about any other's. */
        private long local() {
            return zero + (long) (now() * rate);
        }

        public boolean alive() {
            return budgets != null;
        }

        public boolean runs() {
            return budgets != null && !stopped;
        }

        public QuotaProtocol budgets() {
            return budgets;
        }

        public Membership membership() {
            return membership;
        }

        /** Parts that it may spend now. */
        public int parts(int budget) {
            return runs() ? budgets.heldUnits(local(), budget) : 0;
        }

        public long bytes() {
            return bytes + (packing == null ? 0 : packing.bytesSent());
        }

        /** Starts it, with nothing but its name; the clock by which it names its start may have stepped. */
        public void start(long stepMs) {
            long startedMs = STEPS_MS + now() / MS + stepMs;
            membership = new Membership(number, world.division.gateways(), startedMs, random.split());
            budgets = new QuotaProtocol(
                    number,
                    Incarnation.startOf(membership.incarnation()),
                    world.division,
                    world.leaseDurations,
                    random.split(),
                    local());
            packing = new PacketQueue(world.bytesPerSecond, local());
            stopped = false;
            int p = ++process;
            at(now() + 1, () -> look(p));
        }

        /** Killed outright: what it held in memory is gone; what it has in use at servers ends there in its time. */
        public void kill() {
            bytes = bytes();
            membership = null;
            budgets = null;
            packing = null;
            held.clear();
        }

        /** Stands still without noticing. */
        public void stop() {
            stopped = budgets != null;
        }

        public void goOn() {
            if (stopped) {
                stopped = false;
                List<Runnable> all = List.copyOf(held);
                held.clear();
                all.forEach(Runnable::run);
            }
        }

        private void look(int p) {
            if (p != process || budgets == null) {
                return;
            }
            if (stopped) {
                held.add(() -> look(p));
                return;
            }
            membership.onTick(local(), packing);
            budgets.setEpoch(Incarnation.startOf(membership.incarnation()));
            budgets.onTick(local(), membership::isPresent, packing);
            sends();
            at(now() + (long) (LOOK / rate), () -> look(p));
        }

        private void sends() {
            for (PacketQueue.OutboundPacket l : packing.drain(local(), membership.incarnation(), world.division.id())) {
                network.send(number, l.to(), l.bytes());
            }
        }

        private void hears(int from, byte[] bytes) {
            if (budgets == null) {
                return;
            }
            if (stopped) {
                if (held.size() < HELD_WHILE_STOPPED) {
                    held.add(() -> hears(from, bytes));
                }
                return;
            }
            Packet p = PacketCodec.decode(bytes);
            if (p != null && membership.acceptPacket(local(), from, p.incarnation())) {
                for (Packet.Part part : p.parts()) {
                    membership.onPart(local(), from, part, packing);
                    if (p.allocationId() == world.division.id()) {
                        budgets.onMessage(local(), from, Incarnation.startOf(p.incarnation()), part, packing);
                    }
                }
                sends();
            }
        }

        /** Wants to spend a part; true where it could. What is in use stays so for that long by its own clock. */
        public boolean spend(int budget, long uses) {
            if (!runs() || !budgets.tryAcquire(local(), budget)) {
                return false;
            }
            ConsumptionRecorder s = spending.get(budget);
            s.spends(now(), "n" + number);
            if (world.division.limits().get(budget).kind() == SharedLimit.Kind.CONCURRENCY) {
                int p = process;
                at(now() + (long) (uses / rate), () -> {
                    s.ended();
                    if (p == process && budgets != null) {
                        Runnable gives = () -> {
                            if (p == process && budgets != null) {
                                budgets.release(budget);
                            }
                        };
                        if (stopped) {
                            held.add(gives);
                        } else {
                            gives.run();
                        }
                    }
                });
            }
            return true;
        }
    }

    private final Settings world;
    private final SplittableRandom random;
    private final List<Instance> instances = new ArrayList<>();
    private final List<ConsumptionRecorder> spending = new ArrayList<>();
    private final SimulatedNetwork network;

    public FleetModel(Settings world, long seed) {
        this.world = world;
        random = new SplittableRandom(seed);
        int n = world.division.gateways();
        network = new SimulatedNetwork(
                n,
                world.loss,
                world.twice,
                world.delay,
                random,
                (from, to, bytes) -> instances.get(to).hears(from, bytes));
        for (int i = 0; i < n; i++) {
            instances.add(new Instance(i));
        }
        world.division.limits().forEach(b -> spending.add(new ConsumptionRecorder(b, 0)));
    }

    public long now() {
        return network.now();
    }

    public Instance instance(int i) {
        return instances.get(i);
    }

    public List<Instance> instances() {
        return instances;
    }

    public ConsumptionRecorder spending(int budget) {
        return spending.get(budget);
    }

    /** Whatever was spent beyond a whole. */
    public List<String> violations() {
        List<String> all = new ArrayList<>();
        spending.forEach(s -> all.addAll(s.violations()));
        return all;
    }

    /** Parts that all who run may spend now. */
    public int parts(int budget) {
        return instances.stream().mapToInt(i -> i.parts(budget)).sum();
    }

    /** What happens at a time. */
    public void at(long time, Runnable what) {
        network.at(time, what);
    }

    /** Plays on until then. */
    public void until(long time) {
        network.until(time);
    }

    /** One direction between two is cut or healed. */
    public void cut(int from, int to, boolean is) {
        network.cut(from, to, is);
    }

    /** From now on this share of datagrams is lost. */
    public void loses(double share) {
        network.loses(share);
    }
}
