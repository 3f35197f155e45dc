package ploverdale.tools.lab;

import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import ploverdale.replication.ReplicationSettings;
import ploverdale.tools.lab.ReplicaModel.Settings;

/**
 * Experiments with replication in simulated time: runs with random faults, and the cost of catching up after a
 * partition.
 */
public final class ReplicaExperiment {
    private static final long MS = 10;
    private static final long SECOND = 1000 * MS;
    private static final int SESSIONS = 40;
    private static final long MAX_CATCH_UP = 120 * SECOND;

    private ReplicaExperiment() {}

    /** Returns the replication settings of the runs with random faults. */
    public static ReplicationSettings replicationSettings(int replicationFactor) {
        return new ReplicationSettings(
                replicationFactor,
                true,
                20 * SECOND,
                60 * MS,
                8 * SECOND,
                true,
                Set.of("put"),
                100 * MS,
                400_000,
                50 * MS);
    }

    private static void scheduleRandomFaults(
            ReplicaModel model, SplittableRandom random, int gateways, long from, long to) {
        for (int f = 0; f < 8; f++) {
            long faultStart = from + random.nextLong(to - from);
            long faultEnd = faultStart + random.nextLong(to - faultStart) + 1;
            int gateway = random.nextInt(gateways);
            int peer = random.nextInt(gateways);
            switch (random.nextInt(6)) {
                case 0 -> {
                    model.schedule(faultStart, () -> model.gateway(gateway).kill());
                    model.schedule(faultStart + 300 * MS, () -> startIfDead(model, gateway));
                }
                case 1 -> {
                    model.schedule(faultStart, () -> model.gateway(gateway).pause());
                    model.schedule(faultEnd, () -> model.gateway(gateway).resume());
                }
                case 2 -> {
                    model.schedule(faultStart, () -> model.setBlocked(gateway, peer, true));
                    model.schedule(faultEnd, () -> model.setBlocked(gateway, peer, false));
                }
                case 3 -> {
                    model.schedule(faultStart, () -> setSplit(model, gateways, true));
                    model.schedule(faultEnd, () -> setSplit(model, gateways, false));
                }
                case 4 -> {
                    model.schedule(faultStart, () -> model.setLoss(0.5));
                    model.schedule(faultEnd, () -> model.setLoss(0.05));
                }
                default -> { // a rolling restart: each gateway is back before the next one is killed
                    for (int i = 0; i < gateways; i++) {
                        int index = i;
                        model.schedule(
                                faultStart + i * 400 * MS,
                                () -> model.gateway(index).kill());
                        model.schedule(faultStart + i * 400 * MS + 350 * MS, () -> startIfDead(model, index));
                    }
                }
            }
        }
    }

    /** Starts the given gateway if its process is dead. */
    static void startIfDead(ReplicaModel model, int gateway) {
        if (!model.gateway(gateway).isAlive()) {
            model.gateway(gateway).start();
        }
    }

    /** Blocks or unblocks all links between the two halves of the fleet. */
    private static void setSplit(ReplicaModel model, int gateways, boolean isBlocked) {
        IntStream.range(0, gateways * gateways)
                .filter(i -> (i / gateways < gateways / 2) != (i % gateways < gateways / 2))
                .forEach(i -> model.setBlocked(i / gateways, i % gateways, isBlocked));
    }

    /**
     * Simulates 24 s with random faults, in which sessions use a random gateway for each request and each write is
     * submitted up to four times, each time at a random gateway.
     */
    public static ReplicaModel runWithRandomFaults(int gateways, long seed) {
        ReplicaModel model = new ReplicaModel(
                new Settings(gateways, replicationSettings(3), 0.05, 0.05, 0.05, 10 * MS, 200_000), seed);
        SplittableRandom random = new SplittableRandom(~seed);
        scheduleRandomFaults(model, random, gateways, 2 * SECOND, 20 * SECOND);
        for (long time = SECOND; time < 24 * SECOND; time += 5 * MS) {
            String session = "s" + random.nextInt(SESSIONS);
            String id = "w" + time;
            model.schedule(time, () -> model.write(random.nextInt(gateways), session));
            model.schedule(time + MS, () -> model.read(random.nextInt(gateways), "s" + random.nextInt(SESSIONS)));
            boolean executes = random.nextInt(3) > 0;
            model.schedule(
                    time,
                    () -> model.submit(
                            random.nextInt(gateways), id, true, random.nextLong(300 * MS), executes, status -> {}));
            for (int resubmission = 1; resubmission < 4; resubmission++) {
                model.schedule(
                        time + resubmission * random.nextLong(1, SECOND),
                        () -> model.submit(random.nextInt(gateways), id, false, 10 * MS, true, status -> {}));
            }
        }
        model.runUntil(24 * SECOND);
        return model;
    }

    /**
     * The result of one measurement of catching up.
     *
     * @param entries entries that gateway 0 holds at the end
     * @param missedEntries entries that the gateway missed while it was partitioned
     * @param afterMs time from the end of the partition until all replicas were equal
     * @param bytesSent sent by all gateways in that time
     * @param idleBytesPerSecond bytes per second that a gateway sends when nothing is written
     */
    public record CatchUpResult(
            int gateways, int entries, int missedEntries, long afterMs, long bytesSent, double idleBytesPerSecond) {
        /** Header line of the CSV file. */
        public static final String CSV_HEADER = "gateways,facts,differ,after_ms,bytes_of_all,bytes_a_second_idle";

        public String csvRow() {
            return String.format(
                    Locale.ROOT,
                    "%d,%d,%d,%d,%d,%.0f",
                    gateways,
                    entries,
                    missedEntries,
                    afterMs,
                    bytesSent,
                    idleBytesPerSecond);
        }
    }

    /**
     * Partitions one gateway from the others, writes entries that it misses, and measures how long it takes to
     * catch up and how many bytes that costs.
     *
     * @param entries entries that are written before the partition
     * @param missedEntries entries that are written during the partition
     * @param bytesPerSecond largest rate at which a gateway sends
     */
    public static CatchUpResult measureCatchUp(
            int gateways, int entries, int missedEntries, double bytesPerSecond, long seed) {
        ReplicationSettings replication = new ReplicationSettings(
                3, true, 600 * SECOND, 60 * MS, 0, true, Set.of("put"), 100 * MS, 400_000, 50 * MS);
        ReplicaModel model =
                new ReplicaModel(new Settings(gateways, replication, 0.05, 0, 0, 2 * MS, bytesPerSecond), seed);
        model.runUntil(3 * SECOND);
        fill(model, "s", entries, gateways);
        runUntilEqual(model);
        long idleStartBytes = bytesSent(model);
        model.runUntil(model.now() + 5 * SECOND);
        double idleRate = (bytesSent(model) - idleStartBytes) / 5.0 / gateways;
        IntStream.range(0, gateways).forEach(i -> {
            model.setBlocked(i, gateways - 1, true);
            model.setBlocked(gateways - 1, i, true);
        });
        fill(model, "more", missedEntries, gateways - 1);
        model.runUntil(model.now() + 8 * SECOND);
        IntStream.range(0, gateways).forEach(i -> {
            model.setBlocked(i, gateways - 1, false);
            model.setBlocked(gateways - 1, i, false);
        });
        long bytesBefore = bytesSent(model);
        long elapsed = runUntilEqual(model);
        return new CatchUpResult(
                gateways,
                model.gateway(0).replicas().size(),
                missedEntries,
                elapsed / MS,
                bytesSent(model) - bytesBefore,
                idleRate);
    }

    private static void fill(ReplicaModel model, String sessionPrefix, int entries, int writerCount) {
        for (int i = 0; i < entries; i++) {
            int entry = i;
            model.schedule(model.now() + i / 4, () -> model.write(entry % writerCount, sessionPrefix + entry));
        }
        model.runUntil(model.now() + entries / 4 + 2 * SECOND);
    }

    /**
     * Runs the model until all replicas are equal, or for {@link #MAX_CATCH_UP} at most, and returns the time
     * taken.
     */
    private static long runUntilEqual(ReplicaModel model) {
        long from = model.now();
        while (model.differingPairs() > 0 && model.now() < from + MAX_CATCH_UP) {
            model.runUntil(model.now() + 100 * MS);
        }
        return model.now() - from;
    }

    private static long bytesSent(ReplicaModel model) {
        return model.gateways().stream()
                .mapToLong(ReplicaModel.Gateway::bytesSent)
                .sum();
    }
}
