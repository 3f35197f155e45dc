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
 * Instances of membership and replicated state in simulated time, with clients that roam, datagrams that are lost, doubled and
 * late, and processes that are killed, stopped and started. What clients were promised is held from outside: the position of
 * each session's last acked write, and how often each write was sent. Times in tenths of a millisecond.
 */
public final class ReplicaModel {
    private static final long MS = 10;
    private static final long LOOK = 20 * MS;
    private static final long ZERO = 17_000_000_000_000L; // a Unix time to begin with
    private static final long LASTS_ON = 1000 * MS; // facts that end within this are not looked at
    private static final int HELD_WHILE_STOPPED = 200;

    /**
     * The world.
     *
     * @param drift by which clocks that never step run fast or slow, at most; the Unix clock is off by less than is told
     * @param delay of a datagram, at most
     */
    public record Settings(
            int gateways,
            ReplicationSettings keeping,
            double drift,
            double loss,
            double twice,
            long delay,
            double bytesPerSecond) {}

    /** One instance; it may be dead or stopped. */
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

        /** Starts it with nothing but its name. */
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

        /** Killed outright. */
        public void kill() {
            bytes = bytes();
            replicas = null;
            packing = null;
            held.clear();
            tickets.clear();
        }

        /** Stands still without noticing. */
        public void stop() {
            stopped = replicas != null;
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
    private final Map<String, Long> promised = new HashMap<>(); // by session, the position of the last write seen acked
    private final Map<String, Integer> sent = new LinkedHashMap<>(); // by write, how often it may have run
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

    /** What was promised and not kept. */
    public List<String> violations() {
        return violations;
    }

    /** Writes whose clients saw an ack; reads whose past was known; reads whose past was not. */
    public int[] counts() {
        return new int[] {acked, known, unknown};
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

    // -- Clients

    /** A session's write through one gateway, acked by a server just now; its client sees the ack once it is copied. */
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

    /** A session's read through another; it must reach what its client has seen acked before. */
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

    /** A write under an id, first or once more; where it is granted it may run, and what is proven of that comes later. */
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
                    violations.add("at " + now() / MS + " ms n" + gateway + " sends " + id + " once more though it ran");
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

    /** Pairs of gateways whose copies differ. */
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
