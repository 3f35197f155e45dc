package ploverdale.tools.lab;

import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import ploverdale.replication.ReplicationSettings;
import ploverdale.tools.lab.ReplicaModel.Settings;

/** Experiments with replication in simulated time: runs with random faults, and the cost of catching up after a partition. */
public final class ReplicaExperiment {
    private static final long MS = 10;
    private static final long SECOND = 1000 * MS;
    private static final int SESSIONS = 40;
    private static final long WITHIN = 120 * SECOND;

    private ReplicaExperiment() {}

    /** Returns the replication settings of the runs with random faults. */
    public static ReplicationSettings keeping(int copies) {
        return new ReplicationSettings(
                copies, true, 20 * SECOND, 60 * MS, 8 * SECOND, true, Set.of("put"), 100 * MS, 400_000, 50 * MS);
    }

    private static void faults(ReplicaModel m, SplittableRandom random, int n, long from, long to) {
        for (int f = 0; f < 8; f++) {
            long a = from + random.nextLong(to - from);
            long b = a + random.nextLong(to - a) + 1;
            int x = random.nextInt(n);
            int y = random.nextInt(n);
            switch (random.nextInt(6)) {
                case 0 -> {
                    m.at(a, () -> m.instance(x).kill());
                    m.at(a + 300 * MS, () -> starts(m, x));
                }
                case 1 -> {
                    m.at(a, () -> m.instance(x).stop());
                    m.at(b, () -> m.instance(x).goOn());
                }
                case 2 -> {
                    m.at(a, () -> m.cut(x, y, true));
                    m.at(b, () -> m.cut(x, y, false));
                }
                case 3 -> {
                    m.at(a, () -> halves(m, n, true));
                    m.at(b, () -> halves(m, n, false));
                }
                case 4 -> {
                    m.at(a, () -> m.loses(0.5));
                    m.at(b, () -> m.loses(0.05));
                }
                default -> { // a rolling restart: each gateway is back before the next one is killed
                    for (int i = 0; i < n; i++) {
                        int who = i;
                        m.at(a + i * 400 * MS, () -> m.instance(who).kill());
                        m.at(a + i * 400 * MS + 350 * MS, () -> starts(m, who));
                    }
                }
            }
        }
    }

    /** Starts the given gateway if its process is dead. */
    static void starts(ReplicaModel m, int x) {
        if (!m.instance(x).alive()) {
            m.instance(x).start();
        }
    }

    /** Blocks or unblocks all links between the two halves of the fleet. */
    private static void halves(ReplicaModel m, int n, boolean cut) {
        IntStream.range(0, n * n)
                .filter(i -> (i / n < n / 2) != (i % n < n / 2))
                .forEach(i -> m.cut(i / n, i % n, cut));
    }

    /**
     * Simulates 24 s with random faults, in which sessions use a random gateway for each request and each write is submitted
     * up to four times, each time at a random gateway.
     */
    public static ReplicaModel runWithRandomFaults(int n, long seed) {
        ReplicaModel m = new ReplicaModel(new Settings(n, keeping(3), 0.05, 0.05, 0.05, 10 * MS, 200_000), seed);
        SplittableRandom random = new SplittableRandom(~seed);
        faults(m, random, n, 2 * SECOND, 20 * SECOND);
        for (long t = SECOND; t < 24 * SECOND; t += 5 * MS) {
            String session = "s" + random.nextInt(SESSIONS);
            String id = "w" + t;
            m.at(t, () -> m.writes(random.nextInt(n), session));
            m.at(t + MS, () -> m.reads(random.nextInt(n), "s" + random.nextInt(SESSIONS)));
            boolean runs = random.nextInt(3) > 0;
            m.at(t, () -> m.submits(random.nextInt(n), id, true, random.nextLong(300 * MS), runs, e -> {}));
            for (int again = 1; again < 4; again++) {
                m.at(
                        t + again * random.nextLong(1, SECOND),
                        () -> m.submits(random.nextInt(n), id, false, 10 * MS, true, e -> {}));
            }
        }
        m.until(24 * SECOND);
        return m;
    }

    /**
     * The result of one measurement of catching up.
     *
     * @param facts entries that gateway 0 holds at the end
     * @param differ entries that the gateway missed while it was partitioned
     * @param afterMs time from the end of the partition until all replicas were equal
     * @param bytes sent by all gateways in that time
     * @param bytesIdle bytes per second that a gateway sends when nothing is written
     */
    public record CatchUpResult(int gateways, int facts, int differ, long afterMs, long bytes, double bytesIdle) {
        /** Header line of the CSV file. */
        public static final String CSV_HEADER = "gateways,facts,differ,after_ms,bytes_of_all,bytes_a_second_idle";

        public String csvRow() {
            return String.format(
                    Locale.ROOT, "%d,%d,%d,%d,%d,%.0f", gateways, facts, differ, afterMs, bytes, bytesIdle);
        }
    }

    /**
     * Partitions one gateway from the others, writes entries that it misses, and measures how long it takes to catch up and
     * how many bytes that costs.
     *
     * @param facts entries that are written before the partition
     * @param differ entries that are written during the partition
     * @param bytesPerSecond largest rate at which a gateway sends
     */
    public static CatchUpResult measureCatchUp(int n, int facts, int differ, double bytesPerSecond, long seed) {
        ReplicationSettings keeps = new ReplicationSettings(
                3, true, 600 * SECOND, 60 * MS, 0, true, Set.of("put"), 100 * MS, 400_000, 50 * MS);
        ReplicaModel m = new ReplicaModel(new Settings(n, keeps, 0.05, 0, 0, 2 * MS, bytesPerSecond), seed);
        m.until(3 * SECOND);
        fill(m, "s", facts, n);
        settles(m);
        long idleFrom = bytes(m);
        m.until(m.now() + 5 * SECOND);
        double idle = (bytes(m) - idleFrom) / 5.0 / n;
        IntStream.range(0, n).forEach(i -> {
            m.cut(i, n - 1, true);
            m.cut(n - 1, i, true);
        });
        fill(m, "more", differ, n - 1);
        m.until(m.now() + 8 * SECOND);
        IntStream.range(0, n).forEach(i -> {
            m.cut(i, n - 1, false);
            m.cut(n - 1, i, false);
        });
        long before = bytes(m);
        long took = settles(m);
        return new CatchUpResult(n, m.instance(0).replicas().size(), differ, took / MS, bytes(m) - before, idle);
    }

    private static void fill(ReplicaModel m, String name, int facts, int writers) {
        for (int i = 0; i < facts; i++) {
            int f = i;
            m.at(m.now() + i / 4, () -> m.writes(f % writers, name + f));
        }
        m.until(m.now() + facts / 4 + 2 * SECOND);
    }

    /** Runs the model until all replicas are equal, or for {@link #WITHIN} at most, and returns the time taken. */
    private static long settles(ReplicaModel m) {
        long from = m.now();
        while (m.differing() > 0 && m.now() < from + WITHIN) {
            m.until(m.now() + 100 * MS);
        }
        return m.now() - from;
    }

    private static long bytes(ReplicaModel m) {
        return m.instances().stream().mapToLong(ReplicaModel.Instance::bytes).sum();
    }
}
