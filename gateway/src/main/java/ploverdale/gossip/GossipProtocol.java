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
 * Epidemic dissemination of server observations between gateways (Demers et al., 1987): the entry point for events and ticks.
 * A gateway that starts asks a few peers for a snapshot of all that they know ({@link SnapshotBuilder}); from then on only
 * changes are sent, to a few random peers that pass them on ({@link RumorQueue}). Positions take a path of their own ({@link
 * PositionExchange}). {@link PeerTrust} decides how far a peer is believed, {@link SendBudget} how much is sent.
 *
 * <p>Not thread-safe: belongs to the event loop. Does no I/O: methods return what is to be sent. Times in tenths of a
 * millisecond, of the clock by which servers are observed.
 */
public final class GossipProtocol {
    /** The bytes of a datagram for a peer. */
    public record OutboundPacket(int peer, byte[] bytes) {}

    /**
     * What came of a datagram.
     *
     * @param observations what is to be merged into the own knowledge of listed servers
     * @param replies what is to be sent in reply
     * @param logLine for the log, or null
     */
    public record ReceivedGossip(
            Map<ServerId, ServerObservation> observations, List<OutboundPacket> replies, String logLine) {}

    private static final long MS = 10;

    /** The longest time from one broadcast of positions to the end of use of the next. */
    public static final long MAX_POSITION_REFRESH =
            PositionExchange.BROADCAST_INTERVAL + PositionExchange.BROADCAST_MAX_AGE;

    /** A datagram that was sent earlier is rejected: something is wrong with the network or a clock. */
    static final long MAX_TRANSIT_TIME = 2000 * MS;

    /** A datagram from further in the future is rejected; what is from less far counts as observed now. */
    private static final long MAX_CLOCK_SKEW = 500 * MS;
    /** Peers that one snapshot request goes to. */
    private static final int SNAPSHOT_REQUEST_FANOUT = 2;
    /** Peers that are sent the last snapshot of a gateway that leaves. */
    private static final int LEAVE_FANOUT = 3;

    private final Function<ServerId, ServerObservation> own;
    private final double requestsPerSecondHere;
    private final double boundSeconds;
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
     * @param me the number of this gateway
     * @param instances the number of gateways
     * @param requestsPerSecond expected of all gateways together; with the bound it decides whether the own responses bring
     *     positions often enough
     * @param bound the tightest staleness bound, in tenths of a millisecond
     * @param random drawn from in a fixed order, so that a run can be repeated
     * @param own this gateway's knowledge of a server, with the gossip that it has merged; never null
     */
    public GossipProtocol(
            int me,
            int instances,
            double requestsPerSecond,
            long bound,
            RandomGenerator random,
            Function<ServerId, ServerObservation> own) {
        this.own = own;
        requestsPerSecondHere = requestsPerSecond / instances;
        boundSeconds = bound / (1000.0 * MS);
        trust = new PeerTrust(instances);
        peers = new PeerSelector(me, instances, random);
        positions = new PositionExchange(me, instances);
        rumors = new RumorQueue(own, peers, budget);
        snapshots = new SnapshotBuilder(servers, own);
    }

    /** Each datagram for each receiver. */
    static List<OutboundPacket> address(List<byte[]> datagrams, List<Integer> receivers) {
        List<OutboundPacket> packets = new ArrayList<>();
        for (byte[] bytes : datagrams) {
            receivers.forEach(receiver -> packets.add(new OutboundPacket(receiver, bytes)));
        }
        return packets;
    }

    // -- Events

    /** This gateway starts and knows nothing yet. */
    public void start(long now) {
        bootstrap.start(now);
        budget.start(now);
    }

    /** The endpoint list names this server; without effect where it did before. */
    public void addServer(ServerId id) {
        servers.add(id);
    }

    /** The endpoint list does not name this server any more. */
    public void removeServer(ServerId id) {
        KnownServer server = servers.remove(id);
        if (server != null) {
            rumors.remove(server);
            positions.forget(id);
        }
    }

    /** Positions known so far cannot be dated any more. */
    public void forgetPositions() {
        servers.all().forEach(KnownServer::forgetPosition);
        positions.forgetAll();
    }

    /** A client's request has come; it adds to the budget. */
    public void onRequest() {
        budget.onRequest();
    }

    /** This gateway's own knowledge of a server may have changed. */
    public void onObservationChanged(long now, ServerId id) {
        KnownServer server = servers.find(id);
        if (server != null) {
            rumors.offer(now, server, own.apply(id), KnownServer.NO_PEER);
        }
    }

    /** A response to this gateway held the server's log position. */
    public void onPositionObserved(long now, ServerId id) {
        if (needsPeerPositions() && servers.find(id) != null) {
            positions.recordOwn(now, id, own.apply(id));
        }
    }

    /** The server itself has confirmed or refuted the role that gossip had reported. */
    public void onRoleVerified(long now, ServerId id, boolean right) {
        KnownServer server = servers.find(id);
        int peer = server == null ? KnownServer.NO_PEER : server.takeRolePeer();
        if (peer != KnownServer.NO_PEER) {
            trust.rate(now, peer, right);
        }
    }

    /** This gateway leaves. Returns its last snapshot, for a few that stay. */
    public List<OutboundPacket> leave(long now) {
        List<Integer> receivers = peers.choose(now, LEAVE_FANOUT, KnownServer.NO_PEER);
        List<byte[]> snapshot = snapshots.build(now, Kind.LEAVE);
        if (snapshot.isEmpty()) {
            snapshot = List.of(DatagramCodec.encode(new Datagram(Kind.LEAVE, now, Map.of())));
        }
        return address(snapshot, receivers);
    }

    // -- Receiving

    /**
     * A datagram has arrived.
     *
     * @param from the number of the peer, by its address
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

    /** Nothing where this gateway knows nothing or was asked too often. */
    private List<OutboundPacket> answerSnapshotRequest(long now, int peer) {
        budget.refill(now);
        if (!budget.allowsSnapshot()) {
            return List.of();
        }
        List<byte[]> snapshot = snapshots.build(now, Kind.OBSERVATIONS);
        if (!snapshot.isEmpty()) {
            budget.spendSnapshot();
        }
        return address(snapshot, List.of(peer));
    }

    // -- Sending

    /** Whether own responses come so seldom that positions would be too old between them. */
    public boolean needsPeerPositions() {
        return requestsPerSecondHere * boundSeconds < servers.all().size();
    }

    /** Whether {@link #due} may have something to send soon. */
    public boolean hasPending(long now) {
        return !rumors.isEmpty() || bootstrap.isPending() || needsPeerPositions() && positions.isCollector(now);
    }

    /** What is to be sent by now. */
    public List<OutboundPacket> due(long now) {
        budget.refill(now);
        List<OutboundPacket> packets = new ArrayList<>(requestSnapshots(now));
        if (needsPeerPositions()) {
            packets.addAll(positions.onTick(now, own));
        }
        packets.addAll(rumors.onTick(now));
        return packets;
    }

    private List<OutboundPacket> requestSnapshots(long now) {
        if (servers.all().isEmpty() || !bootstrap.pollDue(now) || !hasUnknownServer()) {
            return List.of();
        }
        byte[] bytes = DatagramCodec.encode(new Datagram(Kind.SNAPSHOT_REQUEST, now, Map.of()));
        return address(List.of(bytes), peers.choose(now, SNAPSHOT_REQUEST_FANOUT, KnownServer.NO_PEER));
    }

    private boolean hasUnknownServer() {
        return servers.all().stream().anyMatch(server -> own.apply(server.id()).aliveAt() == LoadReport.UNKNOWN_TIME);
    }

    /** How far a peer is believed on roles, from 0 to 1. */
    double trustIn(long now, int peer) {
        return trust.at(now, peer);
    }
}
