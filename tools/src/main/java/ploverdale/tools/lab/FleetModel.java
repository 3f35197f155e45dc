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
 * A simulation of gateways that run membership and quotas, with clocks that run fast or slow, datagrams that are
 * lost, duplicated and delayed, and processes that are killed, paused and restarted. The model itself counts the
 * consumption of each shared limit. Times are in tenths of a millisecond.
 */
public final class FleetModel {
    private static final long MS = 10;

    /** Interval of a gateway's periodic tick, by its own clock. */
    private static final long TICK_INTERVAL = 20 * MS;

    /** Unix time at which a simulation begins; only differences matter. */
    private static final long START_UNIX_MS = 1_700_000_000_000L;

    /** Number of deferred events from which a paused process drops datagrams, as a full socket buffer does. */
    private static final int MAX_DEFERRED_EVENTS = 200;

    /**
     * Settings of a simulation.
     *
     * @param clockDrift largest share by which a clock runs fast or slow
     * @param loss share of datagrams that are lost
     * @param duplication share of datagrams that are duplicated
     * @param maxDelay longest delay of a datagram
     * @param bytesPerSecond largest rate at which a gateway sends
     */
    public record Settings(
            QuotaAllocation allocation,
            LeaseDurations leaseDurations,
            double clockDrift,
            double loss,
            double duplication,
            long maxDelay,
            double bytesPerSecond) {}

    /** One gateway; its process may be dead or paused. */
    public final class Gateway {
        private final int index;
        private final double clockRate;
        private final long clockOffset;
        private Membership membership;
        private QuotaProtocol quota;
        private PacketQueue outbox;
        private boolean paused;

        /** Number of processes started so far, which identifies the current one. */
        private int currentProcess;

        private final List<Runnable> deferredEvents = new ArrayList<>();
        private long bytesOfEarlierProcesses;

        private Gateway(int index) {
            this.index = index;
            clockRate = 1 + settings.clockDrift * (2 * random.nextDouble() - 1);
            clockOffset = random.nextLong(1_000_000_000L);
        }

        /**
         * Returns the time of this gateway's monotonic clock, which cannot be compared with that of another
         * gateway.
         */
        private long localTime() {
            return clockOffset + (long) (now() * clockRate);
        }

        public boolean isAlive() {
            return quota != null;
        }

        public boolean isRunning() {
            return quota != null && !paused;
        }

        public QuotaProtocol quota() {
            return quota;
        }

        public Membership membership() {
            return membership;
        }

        /** Returns the units of a limit that this gateway holds; 0 if its process is dead or paused. */
        public int heldUnits(int limit) {
            return isRunning() ? quota.heldUnits(localTime(), limit) : 0;
        }

        public long bytesSent() {
            return bytesOfEarlierProcesses + (outbox == null ? 0 : outbox.bytesSent());
        }

        /**
         * Starts a process with empty memory.
         *
         * @param clockStepMs step of the Unix clock from which the start time is taken; negative if the clock was
         *     set back
         */
        public void start(long clockStepMs) {
            long startUnixMs = START_UNIX_MS + now() / MS + clockStepMs;
            membership = new Membership(index, settings.allocation.gateways(), startUnixMs, random.split());
            quota = new QuotaProtocol(
                    index,
                    Incarnation.startOf(membership.incarnation()),
                    settings.allocation,
                    settings.leaseDurations,
                    random.split(),
                    localTime());
            outbox = new PacketQueue(settings.bytesPerSecond, localTime());
            paused = false;
            int processNumber = ++currentProcess;
            schedule(now() + 1, () -> tick(processNumber));
        }

        /**
         * Kills the process; its memory is lost. Units that are in use at servers stay in use until their time is
         * over.
         */
        public void kill() {
            bytesOfEarlierProcesses = bytesSent();
            membership = null;
            quota = null;
            outbox = null;
            deferredEvents.clear();
        }

        /** Pauses the process; until it resumes, its ticks, releases and the datagrams it receives are deferred. */
        public void pause() {
            paused = quota != null;
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
            if (processNumber != currentProcess || quota == null) {
                return;
            }
            if (paused) {
                deferredEvents.add(() -> tick(processNumber));
                return;
            }
            membership.onTick(localTime(), outbox);
            quota.setEpoch(Incarnation.startOf(membership.incarnation()));
            quota.onTick(localTime(), membership::isPresent, outbox);
            sendQueued();
            schedule(now() + (long) (TICK_INTERVAL / clockRate), () -> tick(processNumber));
        }

        private void sendQueued() {
            for (PacketQueue.OutboundPacket p :
                    outbox.drain(localTime(), membership.incarnation(), settings.allocation.id())) {
                network.send(index, p.to(), p.bytes());
            }
        }

        private void receive(int from, byte[] bytes) {
            if (quota == null) {
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
                    if (p.allocationId() == settings.allocation.id()) {
                        quota.onMessage(localTime(), from, Incarnation.startOf(p.incarnation()), part, outbox);
                    }
                }
                sendQueued();
            }
        }

        /**
         * Acquires one unit if the gateway has one free. A unit of a concurrency limit is released after the given
         * time.
         *
         * @param holdTime how long the unit stays in use, by this gateway's clock
         * @return whether a unit was acquired
         */
        public boolean tryAcquire(int limit, long holdTime) {
            if (!isRunning() || !quota.tryAcquire(localTime(), limit)) {
                return false;
            }
            ConsumptionRecorder recorder = consumption.get(limit);
            recorder.recordAcquired(now(), "n" + index);
            if (settings.allocation.limits().get(limit).kind() == SharedLimit.Kind.CONCURRENCY) {
                int processNumber = currentProcess;
                schedule(now() + (long) (holdTime / clockRate), () -> {
                    recorder.recordReleased();
                    if (processNumber == currentProcess && quota != null) {
                        Runnable release = () -> {
                            if (processNumber == currentProcess && quota != null) {
                                quota.release(limit);
                            }
                        };
                        if (paused) {
                            deferredEvents.add(release);
                        } else {
                            release.run();
                        }
                    }
                });
            }
            return true;
        }
    }

    private final Settings settings;
    private final SplittableRandom random;
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<ConsumptionRecorder> consumption = new ArrayList<>();
    private final SimulatedNetwork network;

    public FleetModel(Settings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        int gatewayCount = settings.allocation.gateways();
        network = new SimulatedNetwork(
                gatewayCount,
                settings.loss,
                settings.duplication,
                settings.maxDelay,
                random,
                (from, to, bytes) -> gateways.get(to).receive(from, bytes));
        for (int i = 0; i < gatewayCount; i++) {
            gateways.add(new Gateway(i));
        }
        settings.allocation.limits().forEach(limit -> consumption.add(new ConsumptionRecorder(limit, 0)));
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

    public ConsumptionRecorder consumption(int limit) {
        return consumption.get(limit);
    }

    /** Returns a description of each time that a shared limit was exceeded. */
    public List<String> violations() {
        List<String> violations = new ArrayList<>();
        consumption.forEach(recorder -> violations.addAll(recorder.violations()));
        return violations;
    }

    /** Returns the units of a limit that all running gateways hold together. */
    public int heldUnits(int limit) {
        return gateways.stream().mapToInt(gateway -> gateway.heldUnits(limit)).sum();
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
}
