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
 * What one gateway runs to coordinate with the others: membership, the quota protocol, and replication where it is switched
 * on, all over the same packets. It does no I/O: its owner calls {@link #onTick} every {@link #TICK_INTERVAL}, hands in the
 * datagrams that it receives, and sends the packets that the methods return.
 *
 * <p>Times are tenths of a millisecond of a monotonic clock. Not thread-safe, called on the thread of the event loop.
 */
public final class QuotaNode {
    /** How often {@link #onTick} is to be called, in tenths of a millisecond; short beside the term of any lease. */
    public static final long TICK_INTERVAL = 200;

    private static final long RANDOM_STREAM = 0x5DEECE66DL; // keeps the draws apart from the router's of the same seed

    private final LongSupplier clock;
    private final QuotaAllocation allocation;
    private final Membership membership;
    private final QuotaProtocol protocol;
    private final PacketQueue queue;
    private final Quota quota;
    private final Optional<Replicas> replicas;
    private final int id; // gateways with another allocation or replication factor are distinguished by it
    private final List<String> logLines = new ArrayList<>();

    /**
     * @param startedMs Unix time in ms, by which later starts of a gateway are distinguished from earlier ones
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
        id = allocation.id()
                + (settings.replication() == null ? 0 : settings.replication().replicationFactor());
        if (sharesLimits()) {
            logLines.add(QuotaLogLines.started(allocation, id));
        }
    }

    private boolean sharesLimits() {
        return !allocation.limits().isEmpty();
    }

    private long epoch() {
        return Incarnation.startOf(membership.incarnation());
    }

    /** The quota that the router acquires units of. */
    public Quota quota() {
        return quota;
    }

    /** The replicas of this gateway; null where replication is off. */
    public Replicas replicas() {
        return replicas.orElse(null);
    }

    /** Does the periodic work; returns the packets to send. */
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
        replicas.ifPresent(present -> {
            present.setIncarnation(epoch());
            present.onTick(now, membership::isPresent, queue);
        });
        return drainPackets(now);
    }

    private List<OutboundPacket> drainPackets(long now) {
        replicas.ifPresent(present -> logLines.addAll(present.takeLogLines()));
        return queue.drain(now, membership.incarnation(), id);
    }

    /**
     * Runs an action of the replicas; returns the packets to send for it.
     *
     * @param action is handed the queue for its messages, and the time
     */
    public List<OutboundPacket> runAndDrain(ObjLongConsumer<PacketQueue> action) {
        long now = clock.getAsLong();
        action.accept(queue, now);
        return drainPackets(now);
    }

    /**
     * Handles a datagram of another gateway.
     *
     * @return the packets to answer with; empty where the datagram is not of this protocol and has not been handled
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

    /** Membership is common to all gateways; quota and replication only to those with the same settings. */
    private void onPacket(long now, int sender, Packet packet) {
        boolean sameId = packet.allocationId() == id;
        long senderEpoch = Incarnation.startOf(packet.incarnation());
        for (Packet.Part part : packet.parts()) {
            membership.onPart(now, sender, part, queue);
            if (sameId) {
                protocol.onMessage(now, sender, senderEpoch, part, queue);
                replicas.ifPresent(present -> present.onMessage(now, sender, senderEpoch, part, queue));
            }
        }
        if (!sameId) {
            logLines.add(QuotaLogLines.otherAllocation(sender, packet.allocationId()));
        }
    }

    /** What is to be logged since the last call; each line begins with its kind and a colon. */
    public List<String> drainLogLines() {
        List<String> drained = List.copyOf(logLines);
        logLines.clear();
        return drained;
    }

    /** Announces that this gateway shuts down. */
    public void leave() {
        membership.leave(clock.getAsLong());
    }

    /** A log line of the current statistics. */
    public String statisticsLine() {
        List<LimitStatistics> limits = protocol.statistics(clock.getAsLong());
        String ofReplicas = replicas.map(present -> "; " + present.statistics()).orElse("");
        return QuotaLogLines.statistics(limits, queue, membership) + ofReplicas;
    }
}
