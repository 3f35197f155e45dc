package ploverdale.tools.rig;

import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import ploverdale.tools.fleet.FaultSchedule;
import ploverdale.tools.fleet.Fleet;
import ploverdale.tools.fleet.FleetResult;
import ploverdale.tools.fleet.FloodScheduleGenerator;
import ploverdale.tools.fleet.GatewayProcess.Launch;
import ploverdale.tools.fleet.Workload;
import ploverdale.tools.fleet.Workload.ConnectionLoad;
import ploverdale.tools.stand.LongKeyClients;

/**
 * Runs gateways as processes while some clients send messages of every form at full speed, or write new, long keys: no other client's request
 * may be answered late, and the memory of a gateway stays within its limit.
 */
final class Floods {
    private static final double REQUESTS_PER_SECOND = 80; // of each gateway
    private static final ConnectionLoad CROWD = new ConnectionLoad(60, 512);
    private static final int CROWDED_SEED_INTERVAL = 3; // every third seed has many polite connections
    private static final double LONG_KEYS_PROBABILITY = 0.4;
    private static final long MEMORY_LIMIT_MB = 192; // memory_mb of a gateway's configuration
    private static final int LOG_LINES = 60; // last lines of the log that a failed check prints

    private Floods() {}

    static List<Check> play(long firstSeed, int seeds, int atATime) throws InterruptedException {
        return SeedRuns.playLaunched(firstSeed, seeds, atATime, (launch, seed) -> {
            FaultSchedule schedule = FloodScheduleGenerator.generate(seed, Fleet.SERVERS);
            Workload workload = workload(launch, schedule);
            return check(Fleet.run(schedule, hasLongKeys(seed) ? withLongKeys(workload) : workload));
        });
    }

    private static boolean hasLongKeys(long seed) {
        return new SplittableRandom(seed).nextDouble() < LONG_KEYS_PROBABILITY;
    }

    /** Returns this load with writes whose keys are new and long. */
    static Workload withLongKeys(Workload workload) {
        return workload.withBackground(LongKeyClients::new);
    }

    /** Returns the load for that schedule. */
    static Workload workload(Launch launch, FaultSchedule schedule) {
        Workload workload =
                Workload.even(launch, schedule.gateways(), REQUESTS_PER_SECOND).withOwnAgents();
        return schedule.seed() % CROWDED_SEED_INTERVAL == 0 ? workload.with(CROWD) : workload;
    }

    /** Checks that no rule is broken and that the memory of the gateways stays within its limit. */
    static Check check(FleetResult result) {
        String figures = result.figures()
                + String.format(
                        Locale.ROOT,
                        ", latest answer %.0f ms after its timeout, peak memory %d MB",
                        result.lateness().getMaxValue() / 1000.0,
                        result.peakMemoryMb());
        String name = "seed " + result.schedule().seed() + ": no rule broken, memory within its limit";
        boolean withinMemory = result.peakMemoryMb() <= MEMORY_LIMIT_MB;
        if (result.broken().isEmpty() && withinMemory) {
            return new Check(name, figures, true);
        }
        List<String> log =
                result.log().stream().filter(line -> !line.contains(" ledger ")).toList();
        String first =
                result.broken().isEmpty() ? "none" : result.broken().get(0).toString();
        return new Check(
                name,
                figures + ", broken " + result.broken().size() + ", first " + first + "\n"
                        + result.schedule().text() + "log:\n"
                        + String.join("\n", log.subList(Math.max(0, log.size() - LOG_LINES), log.size())),
                false);
    }
}
