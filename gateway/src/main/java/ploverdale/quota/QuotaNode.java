package ploverdale.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import java.util.function.ObjLongConsumer;
import ploverdale.membership.Incarnation;
import ploverdale.membership.Membership;
import ploverdale.membership.Packet;
import ploverdale.membership.PacketCodec;
import ploverdale.membership.PacketQueue;
import ploverdale.membership.PacketQueue.OutboundPacket;
import ploverdale.model.Event.Started;
import ploverdale.model.Quota;
import ploverdale.replication.Replicas;

/**
 * The coordination of one gateway with its peers: membership, the quota protocol and, where it is enabled,
 * replication, all of which send their messages in the same packets. This class does no I/O: its owner calls {@link
 * #onTick} every {@link #TICK_INTERVAL}, passes in each datagram received, and sends the packets that the methods
 * return.
 *
 * <p>Times are in tenths of a millisecond of a monotonic clock. Not thread-safe: called only on the thread of the
 * event loop.
 */
public final class QuotaNode {
    /**
     * Interval between calls of {@link #onTick}, in tenths of a millisecond; much shorter than the term of any lease.
     */
    public static final long TICK_INTERVAL = 200;

    /** Mixed into the configured seed, so that the random numbers drawn here differ from those of the router. */
    private static final long RANDOM_STREAM = 0x5DEECE66DL;

    private final LongSupplier clock;
    private final QuotaAllocation allocation;
    private final Membership membership;
    private final QuotaProtocol protocol;
    private final PacketQueue queue;
    private final Quota quota;
    private final Optional<Replicas> replicas;
    /** Identifies the allocation and the replication factor, see {@link #onPacket}. */
    private final int allocationId;

    private final List<String> logLines = new ArrayList<>();

    /**
     * Creates the node and starts its protocols at the current time of the clock.
     *
     * @param startedMs start time of this process in Unix ms, which distinguishes it from earlier processes of the
     *     same gateway
     * @param clock monotonic, in tenths of a millisecond
     * @param wallClock Unix time, in tenths of a millisecond
     */
    public QuotaNode(
            QuotaSettings settings, Started configuration, long startedMs, LongSupplier clock, LongSupplier wallClock) {
        this.clock = clock;
        allocation = settings.allocation(configuration);
        int self = configuration.gatewayIndex();
        int gateways = configuration.gateways();
        SplittableRandom random = new SplittableRandom(configuration.seed() ^ RANDOM_STREAM);
        long now = clock.getAsLong();
        membership = new Membership(self, gateways, startedMs, random.split());
        protocol = new QuotaProtocol(self, epoch(), allocation, settings.leaseDurations(), random.split(), now);
        queue = new PacketQueue(settings.bytesPerSecond(), now);
        quota = new SharedQuota(
                new SharedLimitTable(settings.limits(), configuration),
                protocol,
                new StaticQuota(configuration.tenants(), gateways),
                clock);
        replicas = Optional.ofNullable(settings.replication())
                .map(replication -> new Replicas(self, gateways, epoch(), replication, random.split(), wallClock));
        allocationId = allocation.id()
                + (settings.replication() == null ? 0 : settings.replication().replicationFactor());
        if (sharesLimits()) {
            logLines.add(QuotaLogLines.started(allocation, allocationId));
        }
    }

    private boolean sharesLimits() {
        return !allocation.limits().isEmpty();
    }

    private long epoch() {
        return Incarnation.startOf(membership.incarnation());
    }

    /** Returns the quota from which the router acquires units. */
    public Quota quota() {
        return quota;
    }

    /** Returns the replicas of this gateway, or null where replication is disabled. */
    public Replicas replicas() {
        return replicas.orElse(null);
    }

    /** Does the periodic work of all protocols and returns the packets to send. */
    public List<OutboundPacket> onTick() {
        long now = clock.getAsLong();
        membership.onTick(now, queue);
        for (Membership.Change change : membership.drainChanges()) {
            logLines.add(QuotaLogLines.memberChanged(change, membership));
        }
        protocol.setEpoch(epoch());
        protocol.onTick(now, membership::isPresent, queue);
        protocol.pollModeChange()
                .filter(change -> sharesLimits())
                .map(change ->
                        QuotaLogLines.modeChanged(change, allocation.limits().size()))
                .ifPresent(logLines::add);
        replicas.ifPresent(enabledReplicas -> {
            enabledReplicas.setIncarnation(epoch());
            enabledReplicas.onTick(now, membership::isPresent, queue);
        });
        return drainPackets(now);
    }

    private List<OutboundPacket> drainPackets(long now) {
        replicas.ifPresent(enabledReplicas -> logLines.addAll(enabledReplicas.takeLogLines()));
        return queue.drain(now, membership.incarnation(), allocationId);
    }

    /**
     * Runs an action that may queue messages, and returns the packets to send afterwards.
     *
     * @param action receives the packet queue and the current time
     */
    public List<OutboundPacket> runAndDrain(ObjLongConsumer<PacketQueue> action) {
        long now = clock.getAsLong();
        action.accept(queue, now);
        return drainPackets(now);
    }

    /**
     * Handles a datagram received from another gateway.
     *
     * @param sender number of the gateway that sent the datagram
     * @return the packets to send in reply, or empty where the datagram does not belong to this protocol and was not
     *     handled
     */
    public Optional<List<OutboundPacket>> onDatagram(int sender, byte[] bytes) {
        if (!PacketCodec.hasMagic(bytes)) {
            return Optional.empty();
        }
        Packet packet = PacketCodec.decode(bytes);
        if (packet == null) {
            logLines.add(QuotaLogLines.unreadablePacket(sender, bytes.length));
            return Optional.of(List.of());
        }
        long now = clock.getAsLong();
        if (membership.acceptPacket(now, sender, packet.incarnation())) {
            onPacket(now, sender, packet);
        } else {
            membership.correctStaleSender(sender, queue);
        }
        return Optional.of(drainPackets(now));
    }

    /**
     * Handles the parts of a packet. Membership messages are handled from any gateway, quota and replication messages
     * only from gateways with the same allocation and replication factor.
     */
    private void onPacket(long now, int sender, Packet packet) {
        boolean sameAllocation = packet.allocationId() == allocationId;
        long senderEpoch = Incarnation.startOf(packet.incarnation());
        for (Packet.Part part : packet.parts()) {
            membership.onPart(now, sender, part, queue);
            if (sameAllocation) {
                protocol.onMessage(now, sender, senderEpoch, part, queue);
                replicas.ifPresent(enabledReplicas -> enabledReplicas.onMessage(now, sender, senderEpoch, part, queue));
            }
        }
        if (!sameAllocation) {
            logLines.add(QuotaLogLines.otherAllocation(sender, packet.allocationId()));
        }
    }

    /** Returns the lines to log since the previous call. Each begins with its kind and a colon. */
    public List<String> drainLogLines() {
        List<String> drained = List.copyOf(logLines);
        logLines.clear();
        return drained;
    }

    /** Starts to notify the other gateways that this one is shutting down. */
    public void leave() {
        membership.leave(clock.getAsLong());
    }

    /** Returns a log line with the current statistics of quota, packets, membership and replicas. */
    public String statisticsLine() {
        List<LimitStatistics> limits = protocol.statistics(clock.getAsLong());
        String replicaStatistics = replicas.map(enabledReplicas -> "; " + enabledReplicas.statistics())
                .orElse("");
        return QuotaLogLines.statistics(limits, queue, membership) + replicaStatistics;
    }
}
