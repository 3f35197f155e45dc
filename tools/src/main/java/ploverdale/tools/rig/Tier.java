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
 * Hundreds of instances that start at once, in simulated time: only what they tell one another, without sockets. Each hears
 * a position now and then from its own ops; servers are replaced under new ids all the time; one goes silent. Shows what the
 * words cost, how soon news has reached all, how fresh positions are, and that nothing grows.
 */
public final class Tier {
    private static final long MS = 10;
    private static final int INSTANCES = 300;
    private static final int SERVERS = 24;
    private static final double OPS = 900;
    private static final long BOUND = 500 * MS;
    private static final long LENGTH = 60_000 * MS;
    private static final double SECONDS = LENGTH / (1000.0 * MS);
    private static final long STEP = 20 * MS;
    private static final long REPLACED_EVERY = 500 * MS;
    private static final long SILENT_AT = 20_000 * MS;
    private static final double LOSS = 0.05;
    private static final double TOLD = 0.97; // of the instances; by chance one in some hundreds is told by nobody
    private static final long LEAST_WAY = MS;
    private static final int MOST_WAY = 40;
    private static final long START = 17_672_256_000_000L;

    private record OnItsWay(long at, long order, int from, OutboundPacket letter) {}

    private final SplittableRandom random;
    private final List<GossipProtocol> all = new ArrayList<>();
    private final List<Map<ServerId, ServerObservation>> known = new ArrayList<>();
    private final PriorityQueue<OnItsWay> ways =
            new PriorityQueue<>(java.util.Comparator.comparingLong(OnItsWay::at).thenComparingLong(OnItsWay::order));
    private final List<ServerId> servers = new ArrayList<>();
    private int named;
    private long letters;
    private long bytes;
    private int longest;
    private long startBytes;
    private long order;
    private double opsDue;
    private ServerId lost; // once one has gone silent
    private long reached = -1; // after how many ms that is known to nearly all
    private long looked;
    private long fresh;

    private Tier(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Plays each seed, one after the other. */
    static List<Check> play(long firstSeed, int seeds, int atATime) {
        List<Check> checks = new ArrayList<>();
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            new Tier(seed).run(seed, checks);
        }
        return checks;
    }

    private void run(long seed, List<Check> checks) {
        long heapBefore = heap();
        start();
        long cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        long heapHalf = 0;
        for (long now = START; now < START + LENGTH; now += STEP) {
            step(now);
            heapHalf = now - START == LENGTH / 2 ? heap() : heapHalf;
        }
        double cpuMs = (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpu) / 1e6;
        long heap = heap();
        String name = "seed " + seed + ": ";
        checks.addAll(wordChecks(name));
        checks.add(new Check(
                name + "CPU",
                String.format(
                        Locale.ROOT, "%.2f ms an instance and second, stand-ins included", cpuMs / SECONDS / INSTANCES),
                cpuMs / SECONDS / INSTANCES < 20));
        checks.add(new Check(
                name + "memory does not grow with servers seen",
                String.format(
                        Locale.ROOT,
                        "%d servers seen; %.1f kB an instance half-way, %.1f at the end",
                        named,
                        (heapHalf - heapBefore) / 1024.0 / INSTANCES,
                        (heap - heapBefore) / 1024.0 / INSTANCES),
                heap - heapBefore < 1.3 * (heapHalf - heapBefore) + (1 << 20)));
    }

    private void start() {
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ServerId("s-" + named++));
        }
        for (int i = 0; i < INSTANCES; i++) {
            Map<ServerId, ServerObservation> mine = new HashMap<>();
            GossipProtocol h = new GossipProtocol(
                    i, INSTANCES, OPS, BOUND, random.split(), id -> mine.getOrDefault(id, ServerObservation.NONE));
            servers.forEach(h::addServer);
            h.start(START);
            all.add(h);
            known.add(mine);
        }
    }

    private void step(long now) {
        long passed = now - START;
        if (passed == SILENT_AT) {
            goesSilent(now);
        }
        for (opsDue += OPS * STEP / (1000.0 * MS); opsDue >= 1; opsDue--) {
            request(now, lost);
        }
        if (passed % REPLACED_EVERY == 0 && passed > 0) {
            replace(lost);
        }
        deliver(now);
        for (int i = 0; i < INSTANCES; i++) {
            order = send(now, i, all.get(i).due(now), order);
        }
        startBytes = passed == 2000 * MS ? bytes : startBytes;
        if (lost != null && reached < 0) {
            long silent = known.stream()
                    .filter(m -> m.getOrDefault(lost, ServerObservation.NONE).isUnresponsive())
                    .count();
            reached = silent >= INSTANCES * TOLD ? (passed - SILENT_AT) / MS : -1;
        }
        if (passed % (100 * MS) == 0 && passed > 5000 * MS) {
            countFresh(now);
        }
    }

    private void goesSilent(long now) {
        lost = servers.get(1);
        ServerObservation silent = new ServerObservation(
                Role.UNKNOWN,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                now,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME);
        known.get(3).merge(lost, silent, ServerObservation::join);
        all.get(3).onObservationChanged(now, lost);
    }

    private void deliver(long now) {
        while (!ways.isEmpty() && ways.peek().at() <= now) {
            OnItsWay w = ways.poll();
            int to = w.letter().peer();
            GossipProtocol.ReceivedGossip h =
                    all.get(to).onDatagram(now, w.from(), w.letter().bytes());
            h.observations().forEach((id, x) -> known.get(to).merge(id, x, ServerObservation::join));
            order = send(now, to, h.replies(), order);
        }
    }

    private void countFresh(long now) {
        for (Map<ServerId, ServerObservation> m : known) {
            for (ServerId id : servers) {
                if (!id.equals(lost)) {
                    looked++;
                    fresh += now - m.getOrDefault(id, ServerObservation.NONE).position() <= BOUND ? 1 : 0;
                }
            }
        }
    }

    /** What holds of the words that were told, and what they cost. */
    private List<Check> wordChecks(String name) {
        double share = fresh / (double) looked;
        double messages = bytes / 256.0 / (OPS * SECONDS);
        return List.of(
                new Check(
                        name + "no datagram over 256 bytes",
                        letters + " datagrams, the longest " + longest + " bytes",
                        longest <= 256),
                new Check(
                        name + "a silent server is known to 97 of 100 within a second",
                        reached + " ms",
                        reached >= 0 && reached <= 1000),
                new Check(
                        name + "positions within the bound at most instances",
                        String.format(Locale.ROOT, "%.3f of all pairs of instance and server", share),
                        share > 0.5),
                new Check(
                        name + "what words cost",
                        String.format(
                                Locale.ROOT,
                                "%.0f bytes an instance and second, %.2f full messages an op; %.0f bytes an instance in its first 2 s",
                                bytes / SECONDS / INSTANCES,
                                messages,
                                startBytes / (double) INSTANCES),
                        messages < 1));
    }

    private void request(long now, ServerId lost) {
        int at = random.nextInt(INSTANCES);
        ServerId id = servers.get(random.nextInt(servers.size()));
        if (!id.equals(lost)) {
            Role role = servers.indexOf(id) % 4 == 0 ? Role.PRIMARY : Role.REPLICA;
            known.get(at)
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
            all.get(at).onPositionObserved(now, id);
            all.get(at).onObservationChanged(now, id);
        }
        all.get(at).onRequest();
    }

    private void replace(ServerId lost) {
        int i = 2 + random.nextInt(servers.size() - 2); // not the one that goes silent
        ServerId old = servers.get(i);
        servers.set(i, new ServerId("s-" + named++));
        for (int k = 0; k < INSTANCES; k++) {
            all.get(k).removeServer(old);
            known.get(k).remove(old);
            all.get(k).addServer(servers.get(i));
        }
    }

    private long send(long now, int from, List<OutboundPacket> out, long order) {
        for (OutboundPacket l : out) {
            letters++;
            bytes += l.bytes().length;
            longest = Math.max(longest, l.bytes().length);
            if (random.nextDouble() >= LOSS) {
                ways.add(new OnItsWay(now + LEAST_WAY + random.nextInt(MOST_WAY) * MS, order++, from, l));
            }
        }
        return order;
    }

    private static long heap() {
        System.gc();
        Runtime r = Runtime.getRuntime();
        return r.totalMemory() - r.freeMemory();
    }
}
