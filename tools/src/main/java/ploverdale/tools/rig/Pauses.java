package ploverdale.tools.rig;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;
import ploverdale.tools.fleet.FaultSchedule;
import ploverdale.tools.fleet.FaultSchedule.Action;
import ploverdale.tools.fleet.FaultSchedule.Step;
import ploverdale.tools.fleet.Fleet;
import ploverdale.tools.fleet.FleetResult;
import ploverdale.tools.fleet.GatewayProcess.Launch;
import ploverdale.tools.fleet.Workload;
import ploverdale.tools.fleet.Workload.ConnectionLoad;
import ploverdale.tools.stand.LeavingClients;

/**
 * Runs gateways as processes that are repeatedly paused for a fraction of a second, as happens on a machine short of
 * CPU, while clients hold more connections open than a gateway keeps idle. A request that arrives during a pause must
 * be answered; it is lost if the gateway closes its connection as idle instead. Other clients leave and send their write
 * again, and it must not run twice.
 */
final class Pauses {
    private static final int GATEWAYS = 2;
    private static final long DURATION_MS = 10_000;
    private static final long EARLIEST_PAUSE_MS = 800;
    private static final long MIN_PAUSE_MS = 100;
    private static final long MAX_PAUSE_MS = 600;
    private static final long MIN_BETWEEN_PAUSES_MS = 150;
    private static final long MAX_BETWEEN_PAUSES_MS = 600;
    private static final double REQUESTS_PER_SECOND = 120; // of each gateway

    /** With this limit of descriptors, the gateway soon closes idle connections beyond 40. */
    private static final ConnectionLoad CROWD = new ConnectionLoad(60, 160);

    private static final int LOG_LINES = 60; // last lines of the log that a failed check prints

    private Pauses() {}

    static List<Check> play(long firstSeed, int seeds, int atATime) throws InterruptedException {
        return SeedRuns.playLaunched(
                firstSeed, seeds, atATime, (launch, seed) -> check(Fleet.run(schedule(seed), workload(launch))));
    }

    static Workload workload(Launch launch) {
        return Workload.even(launch, GATEWAYS, REQUESTS_PER_SECOND).with(CROWD).withBackground(LeavingClients::new);
    }

    /** Returns the fault schedule of that seed, with pauses of each gateway independent of the others. */
    static FaultSchedule schedule(long seed) {
        RandomGenerator random = new SplittableRandom(seed);
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            long pauseAt = EARLIEST_PAUSE_MS + random.nextLong(MAX_BETWEEN_PAUSES_MS);
            while (pauseAt < DURATION_MS - MAX_PAUSE_MS) {
                long resumeAt = pauseAt + random.nextLong(MIN_PAUSE_MS, MAX_PAUSE_MS);
                steps.add(Step.of(pauseAt, Action.STOP, "n" + i));
                steps.add(Step.of(resumeAt, Action.GO_ON, "n" + i));
                pauseAt = resumeAt + random.nextLong(MIN_BETWEEN_PAUSES_MS, MAX_BETWEEN_PAUSES_MS);
            }
        }
        return new FaultSchedule(seed, GATEWAYS, DURATION_MS, steps);
    }

    private static Check check(FleetResult result) {
        Histogram lateness = result.lateness();
        String figures = result.figures()
                + String.format(
                        Locale.ROOT,
                        ", answers after their timeout: p50 %.1f p99 %.1f max %.1f ms",
                        lateness.getValueAtPercentile(50) / 1000.0,
                        lateness.getValueAtPercentile(99) / 1000.0,
                        lateness.getMaxValue() / 1000.0);
        String name = "seed " + result.schedule().seed() + ", "
                + result.schedule().steps().size() / 2 + " pauses: no rule broken";
        if (result.broken().isEmpty()) {
            return new Check(name, figures, true);
        }
        List<String> log = result.log();
        return new Check(
                name,
                figures + ", broken " + result.broken().size() + ", first "
                        + result.broken().get(0) + "\n" + result.schedule().text() + "log:\n"
                        + String.join("\n", log.subList(Math.max(0, log.size() - LOG_LINES), log.size())),
                false);
    }
}
