package ploverdale.gossip;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import ploverdale.gossip.Datagram.Kind;
import ploverdale.gossip.DatagramCodec.DecodeResult;
import ploverdale.model.LoadReport;
import ploverdale.model.ServerId;

/**
 * Epidemic dissemination of server observations between gateways (Demers et al., 1987). This class is the entry point
 * for events and ticks. When a gateway starts, it requests from a few peers a snapshot of all
 * that they know ({@link SnapshotBuilder}). After that only changes are sent, to a few random peers that forward them
 * ({@link RumorQueue}). Log positions are distributed separately ({@link PositionExchange}). {@link PeerTrust} limits
 * the influence of peers that report wrong roles, and {@link SendBudget} limits the bandwidth.
 *
 * <p>Not thread-safe; used on the event loop only. Performs no I/O: methods return the packets that are to be sent.
 * Times are in tenths of a millisecond of the clock that dates the observations of servers.
 */
public final class GossipProtocol {
    /** An encoded datagram and the number of the peer that it is for. */
    public record OutboundPacket(int peer, byte[] bytes) {}

    /**
     * Result of handling a datagram.
     *
     * @param observations observations of listed servers, which the caller joins with its own
     * @param replies packets that are to be sent in response
     * @param logLine a line for the log, or null
     */
    public record ReceivedGossip(
            Map<ServerId, ServerObservation> observations, List<OutboundPacket> replies, String logLine) {}

    private static final long TICKS_PER_MS = 10;

    /** Maximum time from a broadcast of positions until the positions of the next broadcast are too old to be used. */
    public static final long MAX_POSITION_REFRESH =
            PositionExchange.BROADCAST_INTERVAL + PositionExchange.BROADCAST_MAX_AGE;

    /** Maximum age of a datagram. An older one is rejected, since the network or a clock must be at fault. */
    static final long MAX_TRANSIT_TIME = 2000 * TICKS_PER_MS;

    /**
     * Maximum time by which the sending time of a datagram may be in the future. A datagram beyond it is rejected; the
     * observations of one within it count as made now.
     */
    private static final long MAX_CLOCK_SKEW = 500 * TICKS_PER_MS;
    /** Number of peers that a snapshot request is sent to. */
    private static final int SNAPSHOT_REQUEST_FANOUT = 2;
    /** Number of peers that the last snapshot of this gateway is sent to when it shuts down. */
    private static final int LEAVE_FANOUT = 3;

    private final Function<ServerId, ServerObservation> ownObservations;
    private final double ownRequestsPerSecond;
    private final double stalenessBoundSeconds;
    private final ServerDirectory servers = new ServerDirectory();
    private final SendBudget budget = new SendBudget();
    private final BootstrapSchedule bootstrap = new BootstrapSchedule();
    private final RejectionLog rejections = new RejectionLog();
    private final PeerTrust trust;
    private final PeerSelector peers;
    private final PositionExchange positions;
    private final RumorQueue rumors;
    private final SnapshotBuilder snapshots;

    /**
     * Creates the protocol without any server; {@link #addServer} adds the listed ones.
     *
     * @param self the number of this gateway
     * @param gatewayCount the number of gateways
     * @param requestsPerSecond expected request rate of all gateways together. Together with the staleness bound it
     *     decides whether the responses to this gateway's own requests report positions often enough
     * @param stalenessBound the tightest staleness bound, in tenths of a millisecond
     * @param random source of random numbers; they are drawn in a fixed order, so that a run can be reproduced
     * @param ownObservations returns this gateway's observation of a server, joined with the accepted gossip; never
     *     null
     */
    public GossipProtocol(
            int self,
            int gatewayCount,
            double requestsPerSecond,
            long stalenessBound,
            RandomGenerator random,
            Function<ServerId, ServerObservation> ownObservations) {
        this.ownObservations = ownObservations;
        ownRequestsPerSecond = requestsPerSecond / gatewayCount;
        stalenessBoundSeconds = stalenessBound / (1000.0 * TICKS_PER_MS);
        trust = new PeerTrust(gatewayCount);
        peers = new PeerSelector(self, gatewayCount, random);
        positions = new PositionExchange(self, gatewayCount);
        rumors = new RumorQueue(ownObservations, peers, budget);
        snapshots = new SnapshotBuilder(servers, ownObservations);
    }

    /** Returns one packet for each pair of datagram and receiver. */
    static List<OutboundPacket> toPackets(List<byte[]> datagrams, List<Integer> receivers) {
        List<OutboundPacket> packets = new ArrayList<>();
        for (byte[] bytes : datagrams) {
            receivers.forEach(receiver -> packets.add(new OutboundPacket(receiver, bytes)));
        }
        return packets;
    }

    // -- Events

    /** Called when this gateway starts, before it knows any server. */
    public void start(long now) {
        bootstrap.start(now);
        budget.start(now);
    }

    /** Called when the endpoint list names a server. Has no effect if it did before. */
    public void addServer(ServerId id) {
        servers.add(id);
    }

    /** Called when the endpoint list no longer names a server. */
    public void removeServer(ServerId id) {
        KnownServer server = servers.remove(id);
        if (server != null) {
            rumors.remove(server);
            positions.forget(id);
        }
    }

    /** Drops all known positions. Called when the clock that dates them was corrected. */
    public void forgetPositions() {
        servers.all().forEach(KnownServer::forgetPosition);
        positions.forgetAll();
    }

    /** Called when a client request arrives; each request adds to the send budget. */
    public void onRequest() {
        budget.onRequest();
    }

    /** Called when this gateway's observation of a server may have changed. */
    public void onObservationChanged(long now, ServerId id) {
        KnownServer server = servers.find(id);
        if (server != null) {
            rumors.offer(now, server, ownObservations.apply(id), KnownServer.NO_PEER);
        }
    }

    /** Called when a server's response to this gateway has reported the server's log position. */
    public void onPositionObserved(long now, ServerId id) {
        if (needsPeerPositions() && servers.find(id) != null) {
            positions.recordOwn(now, id, ownObservations.apply(id));
        }
    }

    /**
     * Called when a server itself has confirmed or refuted the role that gossip reported. Adjusts the trust in the peer
     * that sent it.
     *
     * @param correct whether the reported role was correct
     */
    public void onRoleVerified(long now, ServerId id, boolean correct) {
        KnownServer server = servers.find(id);
        int peer = server == null ? KnownServer.NO_PEER : server.takeRolePeer();
        if (peer != KnownServer.NO_PEER) {
            trust.rate(now, peer, correct);
        }
    }

    /** Called when this gateway shuts down. Returns packets with its last snapshot for a few peers. */
    public List<OutboundPacket> leave(long now) {
        List<Integer> receivers = peers.choose(now, LEAVE_FANOUT, KnownServer.NO_PEER);
        List<byte[]> snapshot = snapshots.build(now, Kind.LEAVE);
        if (snapshot.isEmpty()) {
            snapshot = List.of(DatagramCodec.encode(new Datagram(Kind.LEAVE, now, Map.of())));
        }
        return toPackets(snapshot, receivers);
    }

    // -- Receiving

    /**
     * Handles a received datagram.
     *
     * @param from the number of the peer with the sender's address
     */
    public ReceivedGossip onDatagram(long now, int from, byte[] bytes) {
        if (!peers.isPeer(from)) {
            return rejected(now, from, RejectionReason.UNKNOWN_PEER);
        }
        DecodeResult result = DatagramCodec.decode(bytes);
        if (result.rejection() != null) {
            return rejected(now, from, result.rejection());
        }
        Datagram datagram = result.datagram();
        if (datagram.sentAt() - now > MAX_CLOCK_SKEW) {
            return rejected(now, from, RejectionReason.FROM_THE_FUTURE);
        }
        if (now - datagram.sentAt() > MAX_TRANSIT_TIME) {
            return rejected(now, from, RejectionReason.LATE);
        }
        recordContact(now, from, datagram.kind());
        Map<ServerId, ServerObservation> accepted = acceptAll(now, from, datagram);
        return new ReceivedGossip(accepted, replies(now, from, datagram), null);
    }

    private ReceivedGossip rejected(long now, int from, RejectionReason reason) {
        return new ReceivedGossip(Map.of(), List.of(), rejections.record(now, from, reason));
    }

    private void recordContact(long now, int from, Kind kind) {
        if (kind == Kind.LEAVE) {
            peers.recordDeparture(now, from);
        } else {
            peers.recordContact(now, from);
        }
    }

    private Map<ServerId, ServerObservation> acceptAll(long now, int from, Datagram datagram) {
        Map<ServerId, ServerObservation> accepted = new LinkedHashMap<>();
        datagram.observations().forEach((hash, reported) -> {
            KnownServer server = servers.find(datagram.kind(), hash);
            if (server != null) {
                accepted.put(server.id(), accept(now, from, server, datagram, reported));
            }
        });
        return accepted;
    }

    private ServerObservation accept(
            long now, int from, KnownServer server, Datagram datagram, ServerObservation reported) {
        ServerObservation dated = datagram.sentAt() > now ? reported.notAfter(now) : reported;
        ServerObservation accepted = trust.discount(now, from, dated.withoutOutdated(now));
        server.recordRolePeer(accepted, from);
        if (datagram.kind().isPositions()) {
            server.addDisseminated(accepted);
            positions.recordReported(server.id(), reported, Math.min(now, datagram.sentAt()));
        } else {
            rumors.offer(now, server, accepted, from);
        }
        return accepted;
    }

    private List<OutboundPacket> replies(long now, int from, Datagram datagram) {
        return switch (datagram.kind()) {
            case SNAPSHOT_REQUEST -> answerSnapshotRequest(now, from);
            case POSITIONS_TO_RELAY -> positions.relay(from, datagram);
            default -> List.of();
        };
    }

    /** Returns nothing if this gateway knows no server or has answered too many requests lately. */
    private List<OutboundPacket> answerSnapshotRequest(long now, int peer) {
        budget.refill(now);
        if (!budget.allowsSnapshot()) {
            return List.of();
        }
        List<byte[]> snapshot = snapshots.build(now, Kind.OBSERVATIONS);
        if (!snapshot.isEmpty()) {
            budget.spendSnapshot();
        }
        return toPackets(snapshot, List.of(peer));
    }

    // -- Sending

    /**
     * Returns whether this gateway handles too few requests for their responses to keep the positions of all servers
     * within the staleness bound.
     */
    public boolean needsPeerPositions() {
        return ownRequestsPerSecond * stalenessBoundSeconds < servers.all().size();
    }

    /** Returns whether {@link #due} may return packets soon. */
    public boolean hasPending(long now) {
        return !rumors.isEmpty() || bootstrap.isPending() || needsPeerPositions() && positions.isCollector(now);
    }

    /** Returns the packets that are due. */
    public List<OutboundPacket> due(long now) {
        budget.refill(now);
        List<OutboundPacket> packets = new ArrayList<>(requestSnapshots(now));
        if (needsPeerPositions()) {
            packets.addAll(positions.onTick(now, ownObservations));
        }
        packets.addAll(rumors.onTick(now));
        return packets;
    }

    private List<OutboundPacket> requestSnapshots(long now) {
        if (servers.all().isEmpty() || !bootstrap.pollDue(now) || !hasUnknownServer()) {
            return List.of();
        }
        byte[] bytes = DatagramCodec.encode(new Datagram(Kind.SNAPSHOT_REQUEST, now, Map.of()));
        return toPackets(List.of(bytes), peers.choose(now, SNAPSHOT_REQUEST_FANOUT, KnownServer.NO_PEER));
    }

    private boolean hasUnknownServer() {
        return servers.all().stream()
                .anyMatch(server -> ownObservations.apply(server.id()).aliveAt() == LoadReport.UNKNOWN_TIME);
    }

    /** Returns the trust in the roles that a peer reports, from 0 to 1. */
    double trustIn(long now, int peer) {
        return trust.trustAt(now, peer);
    }
}
