package ploverdale.tools.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.HdrHistogram.Histogram;
import ploverdale.tools.fleet.FaultSchedule;
import ploverdale.tools.fleet.FaultSchedule.Action;
import ploverdale.tools.fleet.FaultSchedule.Step;
import ploverdale.tools.fleet.Fleet;
import ploverdale.tools.fleet.FleetResult;
import ploverdale.tools.fleet.GatewayProcess.Launch;
import ploverdale.tools.fleet.ScheduleGenerator;
import ploverdale.tools.fleet.Workload;
import ploverdale.tools.stand.OverlappingWrites;
import ploverdale.tools.stand.ReconnectingClients;

/**
 * Checks the session positions and write claims that gateways replicate among one another. Gateways run as processes,
 * through random fault schedules and datagram loss between any two of them. Clients reconnect to other gateways and
 * submit writes again. The ledger checks what the clients were promised. Each schedule is run again without
 * replication, which must break rules: this shows that the check can fail.
 */
final class ReplicasRig {
    private static final int[] FLEET_SIZES = {2, 3, 5};
    private static final long DURATION_MS = 9000;

    /**
     * Longer than the submit window: a gateway cannot vouch for writes submitted before its start until that has
     * passed.
     */
    private static final long SETTLE_MS = 4500;

    private static final double MAX_LATE_SHARE = 0.4;
    private static final double REQUESTS_PER_SECOND = 5; // of each gateway, from clients that stay with it
    static final ReconnectingClients.Behavior BEHAVIOR = new ReconnectingClients.Behavior(1000, 220, true);
    private static final String REPLICATION =
            "{\"sessions\":{\"keep_ms\":20000},\"submits\":{\"window_ms\":4000,\"retries_marked\":true},"
                    + "\"ask_ms\":60,\"wait_ms\":150,\"bytes_per_second\":400000";

    private ReplicasRig() {}

    /**
     * Writes a fleet file with replication.
     *
     * @param waits whether writes are acknowledged only after they were replicated to peers
     */
    static Path writeFleetFile(boolean waits) throws IOException {
        return Files.writeString(
                Files.createTempFile("fleet", ".json"),
                REPLICATION + (waits ? ",\"wait_for_copies\":[\"put\"]}" : "}"));
    }

    /**
     * Returns a random schedule in which none, a quarter or half of the datagrams between any two gateways are lost.
     */
    private static FaultSchedule schedule(long seed) {
        int gateways = FLEET_SIZES[(int) (seed % FLEET_SIZES.length)];
        FaultSchedule generated = ScheduleGenerator.generate(seed, gateways, DURATION_MS, Fleet.SERVERS);
        double loss = new SplittableRandom(~seed).nextInt(3) * 0.25;
        List<Step> steps = new ArrayList<>(generated.steps());
        for (int i = 0; i < gateways && loss > 0; i++) {
            for (int k = 0; k < gateways; k++) {
                if (i != k) {
                    steps.add(Step.of(1, Action.WORDS, "n" + i, "n" + k, "loss:" + loss));
                }
            }
        }
        addLateAnswers(steps, gateways, new SplittableRandom(-seed));
        return new FaultSchedule(seed, gateways, DURATION_MS, steps);
    }

    /** From one server to each gateway, some answers are late; a step that heals the link ends that. */
    private static void addLateAnswers(List<Step> steps, int gateways, SplittableRandom random) {
        String server = Fleet.SERVERS.get(random.nextInt(Fleet.SERVERS.size()));
        for (int i = 0; i < gateways; i++) {
            String change = "late:" + random.nextDouble(MAX_LATE_SHARE);
            steps.add(Step.of(random.nextInt((int) DURATION_MS), Action.WAY, "n" + i, server, change));
        }
    }

    private static Workload workload(Launch launch, FaultSchedule schedule, ReconnectingClients.Behavior behavior) {
        return new Workload(
                launch,
                Collections.nCopies(schedule.gateways(), REQUESTS_PER_SECOND),
                SETTLE_MS,
                (request, server, now, started) -> {},
                behavior);
    }

    private static Workload faultWorkload(Launch launch, FaultSchedule schedule) {
        return workload(launch, schedule, BEHAVIOR).withBackground(OverlappingWrites::new);
    }

    static List<Check> play(long firstSeed, int seeds, int atATime) throws InterruptedException {
        List<Check> checks = new ArrayList<>();
        try {
            Path withWaitFile = writeFleetFile(true);
            Path withoutWaitFile = writeFleetFile(false);
            Launch withReplication = Launch.locate(List.of("--fleet", withWaitFile.toString()));
            Launch withoutReplication = Launch.locate(List.of());
            ExecutorService pool = Executors.newFixedThreadPool(atATime);
            List<Future<FleetResult[]>> runs = new ArrayList<>();
            for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
                FaultSchedule schedule = schedule(seed);
                runs.add(pool.submit(() -> new FleetResult[] {
                    Fleet.run(schedule, faultWorkload(withReplication, schedule)),
                    Fleet.run(schedule, faultWorkload(withoutReplication, schedule))
                }));
            }
            int sessions = 0;
            int brokenWith = 0;
            int brokenWithout = 0;
            int resubmissions = 0;
            for (Future<FleetResult[]> run : runs) {
                FleetResult[] both = run.get();
                checks.add(check(both[0], both[1]));
                sessions += both[0].reconnectingClients().sessions();
                resubmissions += both[0].reconnectingClients().resubmissions();
                brokenWith += both[0].broken().size();
                brokenWithout += both[1].broken().size();
            }
            pool.shutdown();
            checks.add(new Check(
                    "without replication, the same schedules break rules",
                    sessions + " sessions, " + resubmissions + " writes submitted again; rules broken " + brokenWith
                            + " times with replication and " + brokenWithout + " without",
                    brokenWithout > 0));
            checks.add(latencies(
                    withReplication,
                    Launch.locate(List.of("--fleet", withoutWaitFile.toString())),
                    withoutReplication));
            Files.delete(withWaitFile);
            Files.delete(withoutWaitFile);
        } catch (IOException e) {
            checks.add(new Check("start of gateways as processes", e.getMessage(), false));
        } catch (ExecutionException e) {
            checks.add(new Check("run that ended with an exception", String.valueOf(e.getCause()), false));
        }
        return checks;
    }

    private static Check check(FleetResult replicated, FleetResult plain) {
        int succeeded = replicated.reconnectingClients().sessions() == 0
                ? 0
                : (int) (replicated.reconnectingClients().writes().getTotalCount()
                        + replicated.reconnectingClients().reads().getTotalCount());
        int succeededWithout = (int) (plain.reconnectingClients().writes().getTotalCount()
                + plain.reconnectingClients().reads().getTotalCount());
        boolean holds = replicated.broken().isEmpty() && 2 * succeeded > succeededWithout;
        return new Check(
                "seed " + replicated.schedule().seed() + ", "
                        + replicated.schedule().gateways() + " gateways, "
                        + replicated.schedule().steps().size()
                        + " steps: no rule broken, over half as many successes as without",
                replicated.reconnectingClients().sessions() + " sessions, " + succeeded + " of "
                        + replicated.reconnectingClients().requests() + " requests succeeded, " + succeededWithout
                        + " without, "
                        + replicated.reconnectingClients().resubmissions() + " submitted again"
                        + (holds
                                ? ""
                                : ", broken: " + replicated.broken() + "\n"
                                        + replicated.schedule().text() + "log:\n"
                                        + String.join("\n", replicated.log())),
                holds);
    }

    /**
     * Measures, without faults, the latency that is added by position lookups at peers and by the wait for replication.
     */
    private static Check latencies(Launch withWait, Launch withoutWait, Launch withoutReplication) {
        FaultSchedule noFaults = new FaultSchedule(77, 3, DURATION_MS, List.of());
        StringBuilder figures = new StringBuilder();
        boolean holds = true;
        try {
            for (Launch launch : List.of(withoutReplication, withoutWait, withWait)) {
                FleetResult result = Fleet.run(
                        noFaults, workload(launch, noFaults, new ReconnectingClients.Behavior(1000, 220, false)));
                figures.append(
                                launch == withoutReplication
                                        ? "not replicated"
                                        : launch == withoutWait ? "; replicated" : "; writes wait for replicas")
                        .append(": writes ")
                        .append(percentiles(result.reconnectingClients().writes()))
                        .append(", reads ")
                        .append(percentiles(result.reconnectingClients().reads()));
                if (launch != withoutReplication && !result.broken().isEmpty()) {
                    holds = false;
                    figures.append(", broken ").append(result.broken());
                }
            }
        } catch (Exception e) {
            return new Check("latency with replication", String.valueOf(e), false);
        }
        return new Check("latency with replication, connecting included, three gateways", figures.toString(), holds);
    }

    private static String percentiles(Histogram latencies) {
        return String.format(
                Locale.ROOT,
                "p50 %.1f ms p99 %.1f ms",
                latencies.getValueAtPercentile(50) / 1000.0,
                latencies.getValueAtPercentile(99) / 1000.0);
    }
}
