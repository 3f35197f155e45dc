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
 * A simulation of gateways that run membership and replication, with clients that reconnect to other gateways,
 * datagrams that are lost, duplicated and delayed, and processes that are killed, paused and restarted. The model
 * itself records what clients rely on, and checks the gateways against it: the position of each session's last
 * acknowledged write, and how often each write may have been executed. Times are in tenths of a millisecond.
 */
public final class ReplicaModel {
    private static final long MS = 10;

    /** Interval of a gateway's periodic tick, by its own clock. */
    private static final long TICK_INTERVAL = 20 * MS;

    /** Unix time at which a simulation begins. */
    private static final long START_TIME = 17_000_000_000_000L;

    /** Entries that expire within this time are left out when replicas are compared. */
    private static final long EXPIRY_MARGIN = 1000 * MS;

    /** Number of deferred events from which a paused process drops datagrams, as a full socket buffer does. */
    private static final int MAX_DEFERRED_EVENTS = 200;

    /**
     * Settings of a simulation.
     *
     * @param replication settings of replication; Unix clocks differ by less than their largest clock difference
     * @param clockDrift largest share by which a monotonic clock runs fast or slow
     * @param loss share of datagrams that are lost
     * @param duplication share of datagrams that are duplicated
     * @param maxDelay longest delay of a datagram
     * @param bytesPerSecond largest rate at which a gateway sends
     */
    public record Settings(
            int gateways,
            ReplicationSettings replication,
            double clockDrift,
            double loss,
            double duplication,
            long maxDelay,
            double bytesPerSecond) {}

    /** One gateway; its process may be dead or paused. */
    public final class Gateway {
        private final int index;
        private final double clockRate;
        private final long wallClockOffset;
        private Membership membership;
        private Replicas replicas;
        private PacketQueue outbox;
        private boolean paused;

        /** Number of processes started so far, which identifies the current one. */
        private int currentProcess;

        private long bytesOfEarlierProcesses;
        private final List<Runnable> deferredEvents = new ArrayList<>();
        private final Map<Long, Consumer<QuorumResult>> callbacks = new HashMap<>();

        private Gateway(int index) {
            this.index = index;
            clockRate = 1 + settings.clockDrift * (2 * random.nextDouble() - 1);
            wallClockOffset = random.nextLong(settings.replication.maxClockDifference() / 2 + 1)
                    - settings.replication.maxClockDifference() / 4;
        }

        private long localTime() {
            return (long) (now() * clockRate);
        }

        private long wallTime() {
            return START_TIME + now() + wallClockOffset;
        }

        public boolean isAlive() {
            return replicas != null;
        }

        public Replicas replicas() {
            return replicas;
        }

        public long bytesSent() {
            return bytesOfEarlierProcesses + (outbox == null ? 0 : outbox.bytesSent());
        }

        /** Starts a process with empty memory. */
        public void start() {
            membership = new Membership(index, settings.gateways, wallTime() / MS, random.split());
            outbox = new PacketQueue(settings.bytesPerSecond, localTime());
            replicas = new Replicas(
                    index,
                    settings.gateways,
                    Incarnation.startOf(membership.incarnation()),
                    settings.replication,
                    random.split(),
                    this::wallTime);
            paused = false;
            int processNumber = ++currentProcess;
            schedule(now() + 1, () -> tick(processNumber));
        }

        /** Kills the process; its memory and all that it had deferred are lost. */
        public void kill() {
            bytesOfEarlierProcesses = bytesSent();
            replicas = null;
            outbox = null;
            deferredEvents.clear();
            callbacks.clear();
        }

        /** Pauses the process; until it resumes, its ticks and the datagrams it receives are deferred. */
        public void pause() {
            paused = replicas != null;
        }

        /** Resumes a paused process, which first handles what was deferred. */
        public void resume() {
            if (paused) {
                paused = false;
                List<Runnable> deferred = List.copyOf(deferredEvents);
                deferredEvents.clear();
                deferred.forEach(Runnable::run);
            }
        }

        private void tick(int processNumber) {
            if (processNumber != currentProcess || replicas == null) {
                return;
            }
            if (paused) {
                deferredEvents.add(() -> tick(processNumber));
                return;
            }
            membership.onTick(localTime(), outbox);
            replicas.setIncarnation(Incarnation.startOf(membership.incarnation()));
            replicas.onTick(localTime(), membership::isPresent, outbox);
            sendQueued();
            schedule(now() + (long) (TICK_INTERVAL / clockRate), () -> tick(processNumber));
        }

        private void sendQueued() {
            for (PacketQueue.OutboundPacket p : outbox.drain(localTime(), membership.incarnation(), 1)) {
                network.send(index, p.to(), p.bytes());
            }
            for (QuorumResult result : replicas.takeResults()) {
                Consumer<QuorumResult> callback = callbacks.remove(result.ticket());
                if (callback != null) {
                    callback.accept(result);
                }
            }
        }

        private void receive(int from, byte[] bytes) {
            if (replicas == null) {
                return;
            }
            if (paused) {
                if (deferredEvents.size() < MAX_DEFERRED_EVENTS) {
                    deferredEvents.add(() -> receive(from, bytes));
                }
                return;
            }
            Packet p = PacketCodec.decode(bytes);
            if (p != null && membership.acceptPacket(localTime(), from, p.incarnation())) {
                for (Packet.Part part : p.parts()) {
                    membership.onPart(localTime(), from, part, outbox);
                    replicas.onMessage(localTime(), from, Incarnation.startOf(p.incarnation()), part, outbox);
                }
                sendQueued();
            }
        }

        private void awaitResult(long ticket, Consumer<QuorumResult> callback) {
            callbacks.put(ticket, callback);
            sendQueued();
        }

        private boolean isRunning() {
            return replicas != null && !paused;
        }
    }

    private final Settings settings;
    private final SplittableRandom random;
    private final List<Gateway> gateways = new ArrayList<>();
    private final SimulatedNetwork network;

    /** By session, the position of the last write whose acknowledgement its client received. */
    private final Map<String, Long> lastAckedPositions = new HashMap<>();

    /** By write, how often it may have been executed. */
    private final Map<String, Integer> executions = new LinkedHashMap<>();

    private final List<String> violations = new ArrayList<>();
    private int ackedWrites;
    private int readsWithPosition;
    private int readsWithoutPosition;

    public ReplicaModel(Settings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        network = new SimulatedNetwork(
                settings.gateways,
                settings.loss,
                settings.duplication,
                settings.maxDelay,
                random,
                (from, to, bytes) -> gateways.get(to).receive(from, bytes));
        for (int i = 0; i < settings.gateways; i++) {
            gateways.add(new Gateway(i));
        }
        gateways.forEach(Gateway::start);
    }

    public long now() {
        return network.now();
    }

    public Gateway gateway(int i) {
        return gateways.get(i);
    }

    public List<Gateway> gateways() {
        return gateways;
    }

    /** Returns a description of each stale read and of each write that was executed again. */
    public List<String> violations() {
        return violations;
    }

    /** Returns the number of acknowledged writes, of reads whose session position was known, and of the other reads. */
    public int[] counts() {
        return new int[] {ackedWrites, readsWithPosition, readsWithoutPosition};
    }

    /** Schedules an action for the given time. */
    public void schedule(long time, Runnable action) {
        network.schedule(time, action);
    }

    /** Runs the simulation up to and including the given time. */
    public void runUntil(long time) {
        network.runUntil(time);
    }

    /** Blocks or unblocks one direction of the link between two gateways. */
    public void setBlocked(int from, int to, boolean isBlocked) {
        network.setBlocked(from, to, isBlocked);
    }

    /** Sets the share of datagrams that are lost from now on. */
    public void setLoss(double share) {
        network.setLoss(share);
    }

    /**
     * Simulates a session's write through one gateway that a server has just acknowledged. The client receives the
     * acknowledgement once the session's position is replicated.
     */
    public void write(int gateway, String session) {
        Gateway g = gateways.get(gateway);
        if (g.isRunning()) {
            long position = START_TIME + now();
            long ticket = g.replicas.writePosition(
                    g.localTime(),
                    Replicas.key(true, session),
                    position,
                    1,
                    settings.replication.synchronousTimeout(),
                    true,
                    g.outbox);
            g.awaitResult(ticket, result -> {
                if (result.status() == Status.REPLICATED) {
                    ackedWrites++;
                    lastAckedPositions.merge(session, position, Math::max);
                }
            });
        }
    }

    /**
     * Simulates a session's read, and checks that it covers the last write whose acknowledgement the client
     * received.
     */
    public void read(int gateway, String session) {
        Gateway g = gateways.get(gateway);
        if (g.isRunning()) {
            long requiredPosition = lastAckedPositions.getOrDefault(session, Long.MIN_VALUE);
            long arrivedAt = START_TIME + now();
            g.awaitResult(g.replicas.readPosition(g.localTime(), Replicas.key(true, session), g.outbox), result -> {
                readsWithPosition += result.status() == Status.POSITION_KNOWN ? 1 : 0;
                readsWithoutPosition += result.status() == Status.POSITION_KNOWN ? 0 : 1;
                long coveredPosition = result.status() == Status.POSITION_KNOWN ? result.position() : arrivedAt;
                if (coveredPosition < requiredPosition) {
                    violations.add("at " + now() / MS + " ms n" + gateway + " reads " + session + " at a position "
                            + (requiredPosition - coveredPosition) / MS + " ms before its last acknowledged write");
                }
            });
        }
    }

    /**
     * Simulates a write that is submitted under an idempotency key. If its claim is granted, the write is sent to a
     * server, and the gateway records the outcome later.
     *
     * @param id the idempotency key
     * @param firstSubmission whether this is the first submission
     * @param duration time from the grant to the outcome
     * @param executes whether the server executes the write
     * @param onStatus receives the ordinal of the {@link Status} with which the claim ended
     */
    public void submit(
            int gateway, String id, boolean firstSubmission, long duration, boolean executes, LongConsumer onStatus) {
        Gateway g = gateways.get(gateway);
        if (!g.isRunning()) {
            return;
        }
        long key = Replicas.key(false, id);
        int processNumber = g.currentProcess;
        g.awaitResult(g.replicas.claimWrite(g.localTime(), key, firstSubmission, g.wallTime(), g.outbox), result -> {
            if (result.status() == Status.GRANTED) {
                if (executes && executions.merge(id, 1, Integer::sum) > 1) {
                    violations.add("at " + now() / MS + " ms n" + gateway + " executes " + id + " again");
                }
                schedule(now() + duration, () -> recordOutcome(g, processNumber, key, result.claim(), executes));
            }
            onStatus.accept(result.status().ordinal());
        });
    }

    private void recordOutcome(Gateway g, int processNumber, long key, ClaimId claim, boolean executed) {
        if (g.isRunning() && g.currentProcess == processNumber) {
            g.replicas.writeOutcome(
                    g.localTime(),
                    key,
                    claim,
                    executed ? ClaimState.SUCCEEDED : ClaimState.NEVER_RAN,
                    new byte[] {1},
                    0,
                    false,
                    g.outbox);
            g.sendQueued();
        }
    }

    /** Returns the number of pairs of live gateways whose replicas differ, apart from entries that expire soon. */
    public int differingPairs() {
        int pairs = 0;
        long unexpiredAt = START_TIME + now() + EXPIRY_MARGIN;
        for (int a = 0; a < gateways.size(); a++) {
            for (int b = a + 1; b < gateways.size(); b++) {
                boolean bothAlive = gateways.get(a).isAlive() && gateways.get(b).isAlive();
                pairs += bothAlive
                                && gateways.get(a).replicas.digest(b, unexpiredAt)
                                        != gateways.get(b).replicas.digest(a, unexpiredAt)
                        ? 1
                        : 0;
            }
        }
        return pairs;
    }
}
