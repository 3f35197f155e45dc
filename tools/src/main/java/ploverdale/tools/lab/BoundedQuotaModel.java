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
 * A bounded model of the quota protocol that is small enough for exhaustive exploration: three gateways share a
 * limit of four units, time advances in steps, and faults are given by the caller instead of being random. One
 * gateway's clock runs slow and one runs fast. The model runs the gateway's own classes. In each step all messages
 * are delivered in the order in which they were sent, except those that a fault affects. Times are in tenths of a
 * millisecond.
 */
public final class BoundedQuotaModel {
    /** Kinds of faults. The first three affect a message, the others a gateway; this order is relied on. */
    public enum FaultKind {
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
     * @param target index of the affected message among those delivered in the step, or index of the affected gateway
     */
    public record Fault(int step, FaultKind kind, int target) {}

    /**
     * The gateways that acquire units in each step; the sequence repeats.
     *
     * @param gatewayMasks for each step a bit mask in which bit i stands for gateway i
     */
    public record Demand(int[] gatewayMasks) {
        int maskAt(int step) {
            return gatewayMasks[step % gatewayMasks.length];
        }
    }

    public static final int GATEWAYS = 3;

    /** Capacity of the shared limit, in units. */
    public static final int CAPACITY = 4;

    /** First step with faults; by then each gateway holds the lease of its own partition. */
    public static final int FIRST_FAULT_STEP = 12;

    /** First step after those with faults. */
    public static final int FAULTS_END_STEP = 30;

    /** Number of messages of a step that a fault may affect; a step rarely has more. */
    public static final int MESSAGES_PER_STEP = 20;

    /** Steps without faults at the end of a run. */
    private static final int RECOVERY_STEPS = 60;

    /** Length of a step. */
    private static final long STEP_TICKS = 1000;

    /** Steps for which a gateway is paused or cut off; longer than any lease. */
    private static final int OUTAGE_STEPS = 8;

    /** Steps from a kill to the restart. */
    private static final int RESTART_DELAY_STEPS = 2;

    /** How long a unit stays in use, by the clock of the gateway that acquired it. */
    private static final long HOLD_TICKS = 3300;

    private record Message(int from, long epoch, int to, byte[] bytes) {}

    private final class Gateway {
        private final int index;
        private final double clockRate;
        private QuotaProtocol quota;
        private PacketQueue outbox;
        private long epoch;
        private int stepsUntilResume;
        private int partitionedUntilStep;
        private int stepsUntilRestart;

        /** Units that became free while the process was paused; it releases them when it resumes. */
        private int deferredReleases;

        private final List<Message> deferredMessages = new ArrayList<>();

        private Gateway(int index) {
            this.index = index;
            clockRate = 1 + (index - 1) * clockDrift;
            startProcess();
        }

        private long localTime() {
            return 5_000 + (long) (step * STEP_TICKS * clockRate);
        }

        private void startProcess() {
            epoch += reusesEpoch ? 0 : 1;
            quota = new QuotaProtocol(
                    index, epoch, allocation, leaseDurations, new SplittableRandom(index), localTime());
            outbox = new PacketQueue(1e9, localTime());
        }

        private boolean isRunning() {
            return quota != null && stepsUntilResume == 0;
        }

        private void sendQueued() {
            for (PacketQueue.OutboundPacket p : outbox.drain(localTime(), epoch, 1)) {
                inFlight.add(new Message(index, epoch, p.to(), p.bytes()));
            }
        }

        private void receive(Message message) {
            if (quota == null) {
                return;
            }
            if (stepsUntilResume > 0) {
                deferredMessages.add(message);
                return;
            }
            for (Packet.Part p : PacketCodec.decode(message.bytes).parts()) {
                quota.onMessage(localTime(), message.from, message.epoch, p, outbox);
            }
            sendQueued();
        }
    }

    /** A unit in use until the given simulated time. */
    private record HeldUnit(int gateway, long epoch, long until) {}

    private final QuotaAllocation allocation;
    private final LeaseDurations leaseDurations;
    private final double clockDrift;
    private final boolean reusesEpoch;
    private final List<Gateway> gateways = new ArrayList<>();
    private final Deque<Message> inFlight = new ArrayDeque<>();
    private final List<Message> delayed = new ArrayList<>();
    private final List<HeldUnit> unitsInUse = new ArrayList<>();
    private int step;
    private int peakInUse;

    /**
     * @param clockDrift the share by which gateway 0's clock runs slow and gateway 2's runs fast
     * @param declaredHoldTime the longest hold time that the shared limit declares; a value below the real one is a
     *     deliberate defect that exploration must find
     * @param reusesEpoch whether a restarted process uses the same epoch as the one before it, another deliberate
     *     defect
     */
    private BoundedQuotaModel(
            LeaseDurations leaseDurations, double clockDrift, long declaredHoldTime, boolean reusesEpoch) {
        this.reusesEpoch = reusesEpoch;
        this.leaseDurations = leaseDurations;
        this.clockDrift = clockDrift;
        allocation = new QuotaAllocation(
                List.of(new SharedLimit("server", SharedLimit.Kind.CONCURRENCY, CAPACITY, declaredHoldTime)),
                GATEWAYS,
                0);
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(new Gateway(i));
        }
    }

    /** Returns lease durations that fit the steps of this model. */
    public static LeaseDurations leaseDurations(double clockDrift) {
        return new LeaseDurations(3 * STEP_TICKS, 3 * STEP_TICKS, clockDrift);
    }

    /** Returns how long a unit stays in use in this model. */
    public static long holdTime() {
        return HOLD_TICKS;
    }

    /**
     * Runs the model once.
     *
     * @return null if no rule was violated; otherwise a description: more units in use than the capacity, or units that
     *     were still missing at the end, long after the last fault
     */
    public static String run(
            LeaseDurations leaseDurations,
            double clockDrift,
            long declaredHoldTime,
            boolean reusesEpoch,
            Demand demand,
            List<Fault> faults) {
        BoundedQuotaModel model = new BoundedQuotaModel(leaseDurations, clockDrift, declaredHoldTime, reusesEpoch);
        for (int s = 0; s < FAULTS_END_STEP + RECOVERY_STEPS; s++) {
            List<Fault> faultsOfStep = new ArrayList<>();
            for (Fault f : faults) {
                if (f.step == s) {
                    faultsOfStep.add(f);
                }
            }
            model.runStep(faultsOfStep, s < FAULTS_END_STEP + RECOVERY_STEPS / 2 ? demand.maskAt(s) : 0);
            if (model.peakInUse > CAPACITY) {
                return "step " + s + ": " + model.peakInUse + " of " + CAPACITY + " in use";
            }
        }
        int remaining = 0;
        for (Gateway g : model.gateways) {
            remaining += g.quota.heldUnits(g.localTime(), 0);
        }
        return remaining == CAPACITY ? null : remaining + " of " + CAPACITY + " units left";
    }

    private void runStep(List<Fault> faults, int demandMask) {
        step++;
        for (Fault f : faults) {
            Gateway g = gateways.get(f.target % GATEWAYS);
            if (f.kind == FaultKind.KILL && g.quota != null) {
                g.quota = null;
                g.deferredMessages.clear();
                g.stepsUntilResume = 0;
                g.deferredReleases = 0;
                g.stepsUntilRestart = RESTART_DELAY_STEPS;
            } else if (f.kind == FaultKind.STOP && g.isRunning()) {
                g.stepsUntilResume = OUTAGE_STEPS;
            } else if (f.kind == FaultKind.CUT) {
                g.partitionedUntilStep = step + OUTAGE_STEPS;
            }
        }
        for (Gateway g : gateways) {
            if (g.quota == null && g.stepsUntilRestart-- == 0) {
                g.startProcess();
            } else if (g.stepsUntilResume > 0 && --g.stepsUntilResume == 0) {
                for (; g.deferredReleases > 0; g.deferredReleases--) {
                    g.quota.release(0);
                }
                List<Message> deferred = List.copyOf(g.deferredMessages);
                g.deferredMessages.clear();
                deferred.forEach(g::receive);
            }
        }
        releaseExpiredUnits();
        inFlight.addAll(delayed);
        delayed.clear();
        for (Gateway g : gateways) {
            if (g.isRunning()) {
                g.quota.onTick(g.localTime(), i -> gateways.get(i).quota != null, g.outbox);
                g.sendQueued();
            }
        }
        deliverMessages(faults);
        for (Gateway g : gateways) {
            while (g.isRunning() && (demandMask >> g.index & 1) == 1 && g.quota.tryAcquire(g.localTime(), 0)) {
                unitsInUse.add(new HeldUnit(g.index, g.epoch, step * STEP_TICKS + (long) (HOLD_TICKS / g.clockRate)));
            }
        }
        peakInUse = Math.max(peakInUse, unitsInUse.size());
    }

    private void releaseExpiredUnits() {
        unitsInUse.removeIf(unit -> {
            boolean isExpired = unit.until <= step * STEP_TICKS;
            Gateway g = gateways.get(unit.gateway);
            if (isExpired && g.quota != null && g.epoch == unit.epoch) {
                if (g.stepsUntilResume > 0) {
                    g.deferredReleases++;
                } else {
                    g.quota.release(0);
                }
            }
            return isExpired;
        });
    }

    private void deliverMessages(List<Fault> faults) {
        for (int index = 0; !inFlight.isEmpty(); index++) {
            Message message = inFlight.poll();
            boolean isDelivered = step >= gateways.get(message.from).partitionedUntilStep
                    && step >= gateways.get(message.to).partitionedUntilStep;
            for (Fault f : faults) {
                if (f.target == index && f.kind.ordinal() <= FaultKind.TWICE.ordinal()) {
                    isDelivered &= f.kind == FaultKind.TWICE;
                    if (f.kind != FaultKind.DROP) {
                        delayed.add(message);
                    }
                }
            }
            if (isDelivered) {
                gateways.get(message.to).receive(message);
            }
        }
    }
}
