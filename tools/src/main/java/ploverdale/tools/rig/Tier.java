package ploverdale.tools.rig;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import ploverdale.gossip.GossipProtocol;
import ploverdale.gossip.GossipProtocol.OutboundPacket;
import ploverdale.gossip.ServerObservation;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ServerId;

/**
 * Simulates the gossip of hundreds of gateways that start at the same time, in simulated time and without sockets. Each
 * gateway observes server positions through its own requests. Servers are replaced under new ids all the time, and one
 * becomes unresponsive. Checks the cost of gossip, how soon an observation reaches nearly all gateways, how fresh the
 * known positions are, and that memory does not grow with the number of servers seen.
 */
public final class Tier {
    private static final long MS = 10; // ticks in a millisecond
    private static final int GATEWAYS = 300;
    private static final int SERVERS = 24;
    private static final double REQUESTS_PER_SECOND = 900; // of all gateways
    private static final long STALENESS_BOUND = 500 * MS;
    private static final long DURATION = 60_000 * MS;
    private static final double SECONDS = DURATION / (1000.0 * MS);
    private static final long STEP = 20 * MS;
    private static final long REPLACEMENT_INTERVAL = 500 * MS;
    private static final long UNRESPONSIVE_AT = 20_000 * MS;
    private static final double LOSS = 0.05;

    /**
     * Share of the gateways that an observation must reach. By chance, one gateway in some hundreds receives no rumor.
     */
    private static final double REACHED_SHARE = 0.97;

    private static final long MIN_LATENCY = MS;
    private static final int LATENCY_SPREAD_MS = 40; // added at random
    private static final long START = 17_672_256_000_000L;

    private record InTransit(long arrivesAt, long order, int from, OutboundPacket packet) {}

    private final SplittableRandom random;
    private final List<GossipProtocol> protocols = new ArrayList<>();
    private final List<Map<ServerId, ServerObservation>> observations = new ArrayList<>();
    private final PriorityQueue<InTransit> network = new PriorityQueue<>(
            java.util.Comparator.comparingLong(InTransit::arrivesAt).thenComparingLong(InTransit::order));
    private final List<ServerId> servers = new ArrayList<>();
    private int serversNamed;
    private long datagrams;
    private long bytes;
    private int longestBytes;
    private long startupBytes;
    private long order;
    private double requestsDue;
    private ServerId unresponsive; // null before UNRESPONSIVE_AT
    private long reachedAfterMs = -1; // until nearly all gateways knew of the unresponsive server; -1: not yet
    private long positionsChecked;
    private long freshPositions;

    private Tier(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Runs the seeds one after the other; {@code atATime} is ignored. */
    static List<Check> play(long firstSeed, int seeds, int atATime) {
        List<Check> checks = new ArrayList<>();
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            new Tier(seed).run(seed, checks);
        }
        return checks;
    }

    private void run(long seed, List<Check> checks) {
        long heapBefore = usedHeap();
        start();
        long cpuBefore = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        long heapHalfway = 0;
        for (long now = START; now < START + DURATION; now += STEP) {
            step(now);
            heapHalfway = now - START == DURATION / 2 ? usedHeap() : heapHalfway;
        }
        double cpuMs = (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpuBefore) / 1e6;
        long heapAfter = usedHeap();
        String name = "seed " + seed + ": ";
        checks.addAll(gossipChecks(name));
        checks.add(new Check(
                name + "CPU",
                String.format(
                        Locale.ROOT, "%.2f ms per gateway and second, simulation included", cpuMs / SECONDS / GATEWAYS),
                cpuMs / SECONDS / GATEWAYS < 20));
        checks.add(new Check(
                name + "memory does not grow with servers seen",
                String.format(
                        Locale.ROOT,
                        "%d servers seen; %.1f kB per gateway halfway, %.1f at the end",
                        serversNamed,
                        (heapHalfway - heapBefore) / 1024.0 / GATEWAYS,
                        (heapAfter - heapBefore) / 1024.0 / GATEWAYS),
                heapAfter - heapBefore < 1.3 * (heapHalfway - heapBefore) + (1 << 20)));
    }

    private void start() {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ServerId("s-" + serversNamed++));
        }
        for (int i = 0; i < GATEWAYS; i++) {
            Map<ServerId, ServerObservation> own = new HashMap<>();
            GossipProtocol protocol = new GossipProtocol(
                    i,
                    GATEWAYS,
                    REQUESTS_PER_SECOND,
                    STALENESS_BOUND,
                    random.split(),
                    id -> own.getOrDefault(id, ServerObservation.NONE));
            servers.forEach(protocol::addServer);
            protocol.start(START);
            protocols.add(protocol);
            observations.add(own);
        }
    }

    private void step(long now) {
        long elapsed = now - START;
        if (elapsed == UNRESPONSIVE_AT) {
            becomeUnresponsive(now);
        }
        for (requestsDue += REQUESTS_PER_SECOND * STEP / (1000.0 * MS); requestsDue >= 1; requestsDue--) {
            request(now, unresponsive);
        }
        if (elapsed % REPLACEMENT_INTERVAL == 0 && elapsed > 0) {
            replace(unresponsive);
        }
        deliver(now);
        for (int i = 0; i < GATEWAYS; i++) {
            order = send(now, i, protocols.get(i).due(now), order);
        }
        startupBytes = elapsed == 2000 * MS ? bytes : startupBytes;
        if (unresponsive != null && reachedAfterMs < 0) {
            long reached = observations.stream()
                    .filter(m ->
                            m.getOrDefault(unresponsive, ServerObservation.NONE).isUnresponsive())
                    .count();
            reachedAfterMs = reached >= GATEWAYS * REACHED_SHARE ? (elapsed - UNRESPONSIVE_AT) / MS : -1;
        }
        if (elapsed % (100 * MS) == 0 && elapsed > 5000 * MS) {
            countFreshPositions(now);
        }
    }

    private void becomeUnresponsive(long now) {
        unresponsive = servers.get(1);
        ServerObservation observation = new ServerObservation(
                Role.UNKNOWN,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                now,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME);
        observations.get(3).merge(unresponsive, observation, ServerObservation::join);
        protocols.get(3).onObservationChanged(now, unresponsive);
    }

    private void deliver(long now) {
        while (!network.isEmpty() && network.peek().arrivesAt() <= now) {
            InTransit arrived = network.poll();
            int to = arrived.packet().peer();
            GossipProtocol.ReceivedGossip gossip = protocols
                    .get(to)
                    .onDatagram(now, arrived.from(), arrived.packet().bytes());
            gossip.observations()
                    .forEach((id, observation) -> observations.get(to).merge(id, observation, ServerObservation::join));
            order = send(now, to, gossip.replies(), order);
        }
    }

    private void countFreshPositions(long now) {
        for (Map<ServerId, ServerObservation> gatewayObservations : observations) {
            for (ServerId id : servers) {
                if (!id.equals(unresponsive)) {
                    positionsChecked++;
                    freshPositions += now
                                            - gatewayObservations
                                                    .getOrDefault(id, ServerObservation.NONE)
                                                    .position()
                                    <= STALENESS_BOUND
                            ? 1
                            : 0;
                }
            }
        }
    }

    /** Returns the checks of the spread and the cost of gossip. */
    private List<Check> gossipChecks(String name) {
        double freshShare = freshPositions / (double) positionsChecked;
        double fullDatagrams = bytes / 256.0 / (REQUESTS_PER_SECOND * SECONDS);
        return List.of(
                new Check(
                        name + "no datagram over 256 bytes",
                        datagrams + " datagrams, the longest " + longestBytes + " bytes",
                        longestBytes <= 256),
                new Check(
                        name + "an unresponsive server is known to 97 % of the gateways within a second",
                        reachedAfterMs + " ms",
                        reachedAfterMs >= 0 && reachedAfterMs <= 1000),
                new Check(
                        name + "most known positions are within the staleness bound",
                        String.format(Locale.ROOT, "%.3f of all pairs of gateway and server", freshShare),
                        freshShare > 0.5),
                new Check(
                        name + "cost of gossip",
                        String.format(
                                Locale.ROOT,
                                "%.0f bytes per gateway and second, %.2f full datagrams per request; %.0f bytes per gateway in the first 2 s",
                                bytes / SECONDS / GATEWAYS,
                                fullDatagrams,
                                startupBytes / (double) GATEWAYS),
                        fullDatagrams < 1));
    }

    private void request(long now, ServerId unresponsive) {
        int gateway = random.nextInt(GATEWAYS);
        ServerId id = servers.get(random.nextInt(servers.size()));
        if (!id.equals(unresponsive)) {
            Role role = servers.indexOf(id) % 4 == 0 ? Role.PRIMARY : Role.REPLICA;
            observations
                    .get(gateway)
                    .merge(
                            id,
                            new ServerObservation(
                                    role,
                                    now,
                                    now - 5 * MS,
                                    now,
                                    now,
                                    LoadReport.UNKNOWN_TIME,
                                    LoadReport.UNKNOWN_TIME,
                                    LoadReport.UNKNOWN_TIME),
                            ServerObservation::join);
            protocols.get(gateway).onPositionObserved(now, id);
            protocols.get(gateway).onObservationChanged(now, id);
        }
        protocols.get(gateway).onRequest();
    }

    private void replace(ServerId unresponsive) {
        int i = 2 + random.nextInt(servers.size() - 2); // not the one that becomes unresponsive
        ServerId old = servers.get(i);
        servers.set(i, new ServerId("s-" + serversNamed++));
        for (int k = 0; k < GATEWAYS; k++) {
            protocols.get(k).removeServer(old);
            observations.get(k).remove(old);
            protocols.get(k).addServer(servers.get(i));
        }
    }

    private long send(long now, int from, List<OutboundPacket> packets, long order) {
        for (OutboundPacket packet : packets) {
            datagrams++;
            bytes += packet.bytes().length;
            longestBytes = Math.max(longestBytes, packet.bytes().length);
            if (random.nextDouble() >= LOSS) {
                network.add(new InTransit(
                        now + MIN_LATENCY + random.nextInt(LATENCY_SPREAD_MS) * MS, order++, from, packet));
            }
        }
        return order;
    }

    private static long usedHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
