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
 * A simulation of gateways that run membership and quotas, with clocks that run fast or slow, datagrams that are lost,
 * duplicated and delayed, and processes that are killed, paused and restarted. The model itself counts the consumption of
 * each shared limit. Times are in tenths of a millisecond.
 */
public final class FleetModel {
    private static final long MS = 10;

    /** Interval of a gateway's periodic tick, by its own clock. */
    private static final long LOOK = 20 * MS;

    /** Unix time at which a simulation begins; only differences matter. */
    private static final long STEPS_MS = 1_700_000_000_000L;

    /** Number of deferred events from which a paused process drops datagrams, as a full socket buffer does. */
    private static final int HELD_WHILE_STOPPED = 200;

    /**
     * Settings of a simulation.
     *
     * @param drift largest share by which a clock runs fast or slow
     * @param loss share of datagrams that are lost
     * @param twice share of datagrams that are duplicated
     * @param delay longest delay of a datagram
     * @param bytesPerSecond largest rate at which a gateway sends
     */
    public record Settings(
            QuotaAllocation division,
            LeaseDurations leaseDurations,
            double drift,
            double loss,
            double twice,
            long delay,
            double bytesPerSecond) {}

    /** One gateway; its process may be dead or paused. */
    public final class Instance {
        private final int number;
        private final double rate;
        private final long zero;
        private Membership membership;
        private QuotaProtocol budgets;
        private PacketQueue packing;
        private boolean stopped;
        /** Number of processes started so far, which identifies the current one. */
        private int process;

        private final List<Runnable> held = new ArrayList<>();
        private long bytes;

        private Instance(int number) {
            this.number = number;
            rate = 1 + world.drift * (2 * random.nextDouble() - 1);
            zero = random.nextLong(1_000_000_000L);
        }

        /** Returns the time of this gateway's monotonic clock, which cannot be compared with that of another gateway. */
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

        /** Returns the units of a limit that this gateway holds; 0 if its process is dead or paused. */
        public int parts(int budget) {
            return runs() ? budgets.heldUnits(local(), budget) : 0;
        }

        public long bytes() {
            return bytes + (packing == null ? 0 : packing.bytesSent());
        }

        /**
         * Starts a process with empty memory.
         *
         * @param stepMs step of the Unix clock from which the start time is taken; negative if the clock was set back
         */
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

        /** Kills the process; its memory is lost. Units that are in use at servers stay in use until their time is over. */
        public void kill() {
            bytes = bytes();
            membership = null;
            budgets = null;
            packing = null;
            held.clear();
        }

        /** Pauses the process; until it resumes, its ticks, releases and the datagrams it receives are deferred. */
        public void stop() {
            stopped = budgets != null;
        }

        /** Resumes a paused process, which first handles what was deferred. */
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

        /**
         * Acquires one unit if the gateway has one free. A unit of a concurrency limit is released after the given time.
         *
         * @param uses how long the unit stays in use, by this gateway's clock
         * @return whether a unit was acquired
         */
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

    /** Returns a description of each time that a shared limit was exceeded. */
    public List<String> violations() {
        List<String> all = new ArrayList<>();
        spending.forEach(s -> all.addAll(s.violations()));
        return all;
    }

    /** Returns the units of a limit that all running gateways hold together. */
    public int parts(int budget) {
        return instances.stream().mapToInt(i -> i.parts(budget)).sum();
    }

    /** Schedules an action for the given time. */
    public void at(long time, Runnable what) {
        network.at(time, what);
    }

    /** Runs the simulation up to and including the given time. */
    public void until(long time) {
        network.until(time);
    }

    /** Blocks or unblocks one direction of the link between two gateways. */
    public void cut(int from, int to, boolean is) {
        network.cut(from, to, is);
    }

    /** Sets the share of datagrams that are lost from now on. */
    public void loses(double share) {
        network.loses(share);
    }
}
