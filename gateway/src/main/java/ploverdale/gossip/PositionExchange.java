package ploverdale.gossip;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import ploverdale.gossip.Datagram.Kind;
import ploverdale.gossip.GossipProtocol.OutboundPacket;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ServerId;

/**
 * Distributes log positions if a single gateway observes too few of them. Positions change too fast for epidemic
 * dissemination, so they use a tree of two levels: each gateway reports the positions that it has observed to one
 * collector. The collector broadcasts all of them, in a few bytes per server, to some relays, and each relay forwards
 * them to its group. The collector is a function of the time, so no election is needed; if it is dead, positions are
 * missing until the next term. Times in tenths of a millisecond.
 */
final class PositionExchange {
    private static final long TICKS_PER_MS = 10;

    /** How long a gateway remains the collector. */
    private static final long COLLECTOR_TERM = 2000 * TICKS_PER_MS;
    /** Time between two broadcasts: half of the tightest staleness bound in use. */
    static final long BROADCAST_INTERVAL = 250 * TICKS_PER_MS;
    /** Minimum time between two reports to the collector. */
    private static final long REPORT_INTERVAL = 20 * TICKS_PER_MS;
    /** Maximum age of an observation in a report. */
    static final long REPORT_MAX_AGE = 60 * TICKS_PER_MS;
    /** Maximum age of an observation in a broadcast. */
    static final long BROADCAST_MAX_AGE = BROADCAST_INTERVAL + REPORT_MAX_AGE;
    /** A position that was broadcast within this time is not reported, since other gateways report it as well. */
    private static final long RECENT_BROADCAST = 150 * TICKS_PER_MS;
    /** Maximum number of peers that the collector sends to directly, without relays. */
    private static final int MAX_DIRECT_PEERS = 9;
    /** Maximum number of servers in a report; they fit into one datagram. */
    private static final int MAX_PENDING = 55;
    /** Multiplier of Fibonacci hashing, which spreads successive terms over the gateways. */
    private static final long TERM_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private static final int TERM_HASH_SHIFT = 33;

    private record PositionRecord(long position, Role role, long recordedAt) {}

    private final int self;
    private final int gatewayCount;
    private final Map<ServerId, PositionRecord> positions = new LinkedHashMap<>();
    /** Servers whose position this gateway has observed and not reported yet. */
    private final Set<ServerId> pending = new LinkedHashSet<>();

    private long lastReportAt = LoadReport.UNKNOWN_TIME;
    private long lastBroadcastAt = LoadReport.UNKNOWN_TIME;

    /**
     * Creates the exchange without any position.
     *
     * @param self the number of this gateway
     * @param gatewayCount the number of gateways
     */
    PositionExchange(int self, int gatewayCount) {
        this.self = self;
        this.gatewayCount = gatewayCount;
    }

    /** Returns the number of the gateway that is the collector at a time. */
    int collector(long now) {
        long term = now / COLLECTOR_TERM;
        return (int) ((term * TERM_MULTIPLIER >>> TERM_HASH_SHIFT) % gatewayCount);
    }

    /** Returns whether this gateway is the collector at a time. */
    boolean isCollector(long now) {
        return collector(now) == self;
    }

    /** Records a position that a server's response to this gateway has reported. */
    void recordOwn(long now, ServerId id, ServerObservation observation) {
        PositionRecord known = positions.get(id);
        boolean isKnownToOthers = known != null && now - known.recordedAt <= RECENT_BROADCAST;
        if (pending.size() < MAX_PENDING && (!isKnownToOthers || isCollector(now))) {
            pending.add(id);
        }
        if (isCollector(now)) {
            recordReported(id, observation, now);
        }
    }

    /**
     * Records a position that a peer has sent.
     *
     * @param reportedAt the time at which the position counts as reported
     */
    void recordReported(ServerId id, ServerObservation observation, long reportedAt) {
        if (observation.position() == LoadReport.UNKNOWN_TIME || observation.role() == Role.UNKNOWN) {
            return;
        }
        PositionRecord known = positions.get(id);
        long position = known == null ? observation.position() : Math.max(known.position, observation.position());
        positions.put(id, new PositionRecord(position, observation.role(), reportedAt));
    }

    /** Drops the positions of all servers. */
    void forgetAll() {
        positions.clear();
        pending.clear();
    }

    /** Drops the position of a server that is no longer listed. */
    void forget(ServerId id) {
        positions.remove(id);
        pending.remove(id);
    }

    /**
     * Returns the packets that are due: a broadcast if this gateway is the collector, or else a report.
     *
     * @param ownObservations returns this gateway's observation of a server
     */
    List<OutboundPacket> onTick(long now, Function<ServerId, ServerObservation> ownObservations) {
        if (isCollector(now)) {
            pending.clear();
            return now - lastBroadcastAt < BROADCAST_INTERVAL ? List.of() : broadcast(now);
        }
        if (pending.isEmpty() || now - lastReportAt < REPORT_INTERVAL) {
            return List.of();
        }
        return report(now, ownObservations);
    }

    private List<OutboundPacket> report(long now, Function<ServerId, ServerObservation> ownObservations) {
        Map<Integer, ServerObservation> observations = new LinkedHashMap<>();
        for (ServerId id : pending) {
            ServerObservation observation = ownObservations.apply(id);
            if (now - observation.positionAt() <= REPORT_MAX_AGE && observation.role() != Role.UNKNOWN) {
                observations.put(ServerHash.shortOf(id), observation);
            }
        }
        pending.clear();
        lastReportAt = now;
        if (observations.isEmpty()) {
            return List.of();
        }
        byte[] bytes = DatagramCodec.encode(new Datagram(Kind.POSITION_REPORT, now, observations));
        return List.of(new OutboundPacket(collector(now), bytes));
    }

    private List<OutboundPacket> broadcast(long now) {
        Map<Integer, ServerObservation> observations = recentPositions(now);
        if (observations.isEmpty()) {
            return List.of();
        }
        lastBroadcastAt = now;
        boolean isDirect = gatewayCount - 1 <= MAX_DIRECT_PEERS;
        Kind kind = isDirect ? Kind.POSITIONS : Kind.POSITIONS_TO_RELAY;
        byte[] bytes = DatagramCodec.encode(new Datagram(kind, now, observations));
        List<OutboundPacket> packets = new ArrayList<>();
        for (int rank = 0; rank < gatewayCount - 1; rank += isDirect ? 1 : groupSize()) {
            packets.add(new OutboundPacket(gatewayAtRank(rank, self, now), bytes));
        }
        return packets;
    }

    private Map<Integer, ServerObservation> recentPositions(long now) {
        Map<Integer, ServerObservation> observations = new LinkedHashMap<>();
        positions.forEach((id, known) -> {
            boolean isRecent = now - known.recordedAt <= BROADCAST_MAX_AGE - REPORT_MAX_AGE;
            if (isRecent && observations.size() < DatagramCodec.MAX_POSITIONS) {
                observations.put(ServerHash.shortOf(id), ServerObservation.ofPosition(known.role, known.position, now));
            }
        });
        return observations;
    }

    /**
     * Returns the gateway at a rank in the order of a broadcast. The order rotates from one broadcast to the next, so
     * that a dead relay does not cut off the same gateways each time.
     */
    private int gatewayAtRank(int rank, int collector, long sentAt) {
        return (collector + 1 + (rank + rotation(sentAt)) % (gatewayCount - 1)) % gatewayCount;
    }

    private int rotation(long sentAt) {
        return (int) (sentAt / BROADCAST_INTERVAL % (gatewayCount - 1));
    }

    /** Returns the size of a relay's group, the relay included. It about equals the number of relays. */
    private int groupSize() {
        return (int) Math.ceil(Math.sqrt(gatewayCount - 1));
    }

    /**
     * Returns the packets that forward a broadcast to this gateway's group; none if it is not a relay of this
     * broadcast.
     */
    List<OutboundPacket> relay(int collector, Datagram broadcast) {
        long sentAt = broadcast.sentAt();
        int ownRank =
                Math.floorMod(Math.floorMod(self - collector - 1, gatewayCount) - rotation(sentAt), gatewayCount - 1);
        if (ownRank % groupSize() != 0) {
            return List.of();
        }
        byte[] bytes = DatagramCodec.encode(new Datagram(Kind.POSITIONS, sentAt, broadcast.observations()));
        List<OutboundPacket> packets = new ArrayList<>();
        for (int rank = ownRank + 1; rank < Math.min(ownRank + groupSize(), gatewayCount - 1); rank++) {
            packets.add(new OutboundPacket(gatewayAtRank(rank, collector, sentAt), bytes));
        }
        return packets;
    }
}
