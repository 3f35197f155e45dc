package ploverdale.tools.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import ploverdale.membership.Incarnation;
import ploverdale.membership.Membership;
import ploverdale.membership.Packet;
import ploverdale.membership.PacketCodec;
import ploverdale.membership.PacketQueue;
import ploverdale.replication.ClaimId;
import ploverdale.replication.ClaimState;
import ploverdale.replication.QuorumResult;
import ploverdale.replication.QuorumResult.Status;
import ploverdale.replication.Replicas;
import ploverdale.replication.ReplicationSettings;

/**
 * A simulation of gateways that run membership and replication, with clients that reconnect to other gateways, datagrams that
 * are lost, duplicated and delayed, and processes that are killed, paused and restarted. The model itself records what clients
 * rely on, and checks the gateways against it: the position of each session's last acknowledged write, and how often each
 * write may have been executed. Times are in tenths of a millisecond.
 */
public final class ReplicaModel {
    private static final long MS = 10;

    /** Interval of a gateway's periodic tick, by its own clock. */
    private static final long LOOK = 20 * MS;

    /** Unix time at which a simulation begins. */
    private static final long ZERO = 17_000_000_000_000L;

    /** Entries that expire within this time are left out when replicas are compared. */
    private static final long LASTS_ON = 1000 * MS;

    /** Number of deferred events from which a paused process drops datagrams, as a full socket buffer does. */
    private static final int HELD_WHILE_STOPPED = 200;

    /**
     * Settings of a simulation.
     *
     * @param keeping settings of replication; Unix clocks differ by less than their largest clock difference
     * @param drift largest share by which a monotonic clock runs fast or slow
     * @param loss share of datagrams that are lost
     * @param twice share of datagrams that are duplicated
     * @param delay longest delay of a datagram
     * @param bytesPerSecond largest rate at which a gateway sends
     */
    public record Settings(
            int gateways,
            ReplicationSettings keeping,
            double drift,
            double loss,
            double twice,
            long delay,
            double bytesPerSecond) {}

    /** One gateway; its process may be dead or paused. */
    public final class Instance {
        private final int number;
        private final double rate;
        private final long wallOff;
        private Membership membership;
        private Replicas replicas;
        private PacketQueue packing;
        private boolean stopped;
        private int process;
        private long bytes;
        private final List<Runnable> held = new ArrayList<>();
        private final Map<Long, Consumer<QuorumResult>> tickets = new HashMap<>();

        private Instance(int number) {
            this.number = number;
            rate = 1 + world.drift * (2 * random.nextDouble() - 1);
            wallOff = random.nextLong(world.keeping.maxClockDifference() / 2 + 1)
                    - world.keeping.maxClockDifference() / 4;
        }

        private long local() {
            return (long) (now() * rate);
        }

        private long wall() {
            return ZERO + now() + wallOff;
        }

        public boolean alive() {
            return replicas != null;
        }

        public Replicas replicas() {
            return replicas;
        }

        public long bytes() {
            return bytes + (packing == null ? 0 : packing.bytesSent());
        }

        /** Starts a process with empty memory. */
        public void start() {
            membership = new Membership(number, world.gateways, wall() / MS, random.split());
            packing = new PacketQueue(world.bytesPerSecond, local());
            replicas = new Replicas(
                    number,
                    world.gateways,
                    Incarnation.startOf(membership.incarnation()),
                    world.keeping,
                    random.split(),
                    this::wall);
            stopped = false;
            int p = ++process;
            at(now() + 1, () -> look(p));
        }

        /** Kills the process; its memory and all that it had deferred are lost. */
        public void kill() {
            bytes = bytes();
            replicas = null;
            packing = null;
            held.clear();
            tickets.clear();
        }

        /** Pauses the process; until it resumes, its ticks and the datagrams it receives are deferred. */
        public void stop() {
            stopped = replicas != null;
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
            if (p != process || replicas == null) {
                return;
            }
            if (stopped) {
                held.add(() -> look(p));
                return;
            }
            membership.onTick(local(), packing);
            replicas.setIncarnation(Incarnation.startOf(membership.incarnation()));
            replicas.onTick(local(), membership::isPresent, packing);
            sends();
            at(now() + (long) (LOOK / rate), () -> look(p));
        }

        private void sends() {
            for (PacketQueue.OutboundPacket l : packing.drain(local(), membership.incarnation(), 1)) {
                network.send(number, l.to(), l.bytes());
            }
            for (QuorumResult d : replicas.takeResults()) {
                Consumer<QuorumResult> then = tickets.remove(d.ticket());
                if (then != null) {
                    then.accept(d);
                }
            }
        }

        private void hears(int from, byte[] bytes) {
            if (replicas == null) {
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
                    replicas.onMessage(local(), from, Incarnation.startOf(p.incarnation()), part, packing);
                }
                sends();
            }
        }

        private void asks(long ticket, Consumer<QuorumResult> then) {
            tickets.put(ticket, then);
            sends();
        }

        private boolean runs() {
            return replicas != null && !stopped;
        }
    }

    private final Settings world;
    private final SplittableRandom random;
    private final List<Instance> instances = new ArrayList<>();
    private final SimulatedNetwork network;

    /** By session, the position of the last write whose acknowledgement its client received. */
    private final Map<String, Long> promised = new HashMap<>();

    /** By write, how often it may have been executed. */
    private final Map<String, Integer> sent = new LinkedHashMap<>();

    private final List<String> violations = new ArrayList<>();
    private int acked;
    private int known;
    private int unknown;

    public ReplicaModel(Settings world, long seed) {
        this.world = world;
        random = new SplittableRandom(seed);
        network = new SimulatedNetwork(
                world.gateways,
                world.loss,
                world.twice,
                world.delay,
                random,
                (from, to, bytes) -> instances.get(to).hears(from, bytes));
        for (int i = 0; i < world.gateways; i++) {
            instances.add(new Instance(i));
        }
        instances.forEach(Instance::start);
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

    /** Returns a description of each stale read and of each write that was executed again. */
    public List<String> violations() {
        return violations;
    }

    /** Returns the number of acknowledged writes, of reads whose session position was known, and of the other reads. */
    public int[] counts() {
        return new int[] {acked, known, unknown};
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

    /**
     * Simulates a session's write through one gateway that a server has just acknowledged. The client receives the
     * acknowledgement once the session's position is replicated.
     */
    public void writes(int gateway, String session) {
        Instance g = instances.get(gateway);
        if (g.runs()) {
            long position = ZERO + now();
            long ticket = g.replicas.writePosition(
                    g.local(),
                    Replicas.key(true, session),
                    position,
                    1,
                    world.keeping.synchronousTimeout(),
                    true,
                    g.packing);
            g.asks(ticket, d -> {
                if (d.status() == Status.REPLICATED) {
                    acked++;
                    promised.merge(session, position, Math::max);
                }
            });
        }
    }

    /** Simulates a session's read, and checks that it covers the last write whose acknowledgement the client received. */
    public void reads(int gateway, String session) {
        Instance g = instances.get(gateway);
        if (g.runs()) {
            long must = promised.getOrDefault(session, Long.MIN_VALUE);
            long arrived = ZERO + now();
            g.asks(g.replicas.readPosition(g.local(), Replicas.key(true, session), g.packing), d -> {
                known += d.status() == Status.POSITION_KNOWN ? 1 : 0;
                unknown += d.status() == Status.POSITION_KNOWN ? 0 : 1;
                long reach = d.status() == Status.POSITION_KNOWN ? d.position() : arrived;
                if (reach < must) {
                    violations.add("at " + now() / MS + " ms n" + gateway + " reads " + session + " from "
                            + (must - reach) / MS + " ms before its last acked write");
                }
            });
        }
    }

    /**
     * Simulates a write that is submitted under an idempotency key. If its claim is granted, the write is sent to a server,
     * and the gateway records the outcome later.
     *
     * @param id the idempotency key
     * @param first whether this is the first submission
     * @param takes time from the grant to the outcome
     * @param runs whether the server executes the write
     * @param then receives the ordinal of the {@link Status} with which the claim ended
     */
    public void submits(int gateway, String id, boolean first, long takes, boolean runs, LongConsumer then) {
        Instance g = instances.get(gateway);
        if (!g.runs()) {
            return;
        }
        long key = Replicas.key(false, id);
        int process = g.process;
        g.asks(g.replicas.claimWrite(g.local(), key, first, g.wall(), g.packing), d -> {
            if (d.status() == Status.GRANTED) {
                if (runs && sent.merge(id, 1, Integer::sum) > 1) {
                    violations.add("at " + now() / MS + " ms n" + gateway + " executes " + id + " again");
                }
                at(now() + takes, () -> proves(g, process, key, d.claim(), runs));
            }
            then.accept(d.status().ordinal());
        });
    }

    private void proves(Instance g, int process, long key, ClaimId claim, boolean ran) {
        if (g.runs() && g.process == process) {
            g.replicas.writeOutcome(
                    g.local(),
                    key,
                    claim,
                    ran ? ClaimState.SUCCEEDED : ClaimState.NEVER_RAN,
                    new byte[] {1},
                    0,
                    false,
                    g.packing);
            g.sends();
        }
    }

    /** Returns the number of pairs of live gateways whose replicas differ, apart from entries that expire soon. */
    public int differing() {
        int n = 0;
        long until = ZERO + now() + LASTS_ON;
        for (int a = 0; a < instances.size(); a++) {
            for (int b = a + 1; b < instances.size(); b++) {
                boolean both = instances.get(a).alive() && instances.get(b).alive();
                n += both
                                && instances.get(a).replicas.digest(b, until)
                                        != instances.get(b).replicas.digest(a, until)
                        ? 1
                        : 0;
            }
        }
        return n;
    }
}
