package ploverdale.tools.rig;

import java.io.IOException;
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

/**
 * Gateways as processes, each paused again and again for a part of a second (as on a machine that gives them too little
 * processor time) while its clients hold more connections than it keeps idle. What was accepted during a pause must be
 * answered: it is lost if its connection is ended instead.
 */
final class Pauses {
    private static final int GATEWAYS = 2;
    private static final long LASTS_MS = 10_000;
    private static final long FIRST_MS = 800;
    private static final long PAUSE_LEAST_MS = 100;
    private static final long PAUSE_MOST_MS = 600;
    private static final long BETWEEN_LEAST_MS = 150;
    private static final long BETWEEN_MOST_MS = 600;
    private static final double OPS_PER_SECOND = 120; // of each gateway
    private static final ConnectionLoad CROWD =
            new ConnectionLoad(60, 160); // idle connections end after a moment where there are over 40
    private static final int LINES = 60; // of the log of a day that fails

    private Pauses() {}

    static List<Check> play(long firstSeed, int seeds, int atATime) throws InterruptedException {
        Launch launch;
        try {
            launch = Launch.locate(List.of());
        } catch (IOException e) {
            return List.of(new Check("gateways as processes", e.getMessage(), false));
        }
        return SeedRuns.play(firstSeed, seeds, atATime, seed -> check(Fleet.run(day(seed), shape(launch))));
    }

    static Workload shape(Launch launch) {
        return Workload.even(launch, GATEWAYS, OPS_PER_SECOND).with(CROWD);
    }

    /** A day of that seed, on which each gateway is paused in turn. */
    static FaultSchedule day(long seed) {
        RandomGenerator random = new SplittableRandom(seed);
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            long at = FIRST_MS + random.nextLong(BETWEEN_MOST_MS);
            while (at < LASTS_MS - PAUSE_MOST_MS) {
                long until = at + random.nextLong(PAUSE_LEAST_MS, PAUSE_MOST_MS);
                steps.add(Step.of(at, Action.STOP, "n" + i));
                steps.add(Step.of(until, Action.GO_ON, "n" + i));
                at = until + random.nextLong(BETWEEN_LEAST_MS, BETWEEN_MOST_MS);
            }
        }
        return new FaultSchedule(seed, GATEWAYS, LASTS_MS, steps);
    }

    private static Check check(FleetResult s) {
        Histogram late = s.lateness();
        String figures = s.figures()
                + String.format(
                        Locale.ROOT,
                        ", answers after their time: p50 %.1f p99 %.1f most %.1f ms",
                        late.getValueAtPercentile(50) / 1000.0,
                        late.getValueAtPercentile(99) / 1000.0,
                        late.getMaxValue() / 1000.0);
        String name =
                "seed " + s.schedule().seed() + ", " + s.schedule().steps().size() / 2 + " pauses: no rule broken";
        if (s.broken().isEmpty()) {
            return new Check(name, figures, true);
        }
        List<String> log = s.log();
        return new Check(
                name,
                figures + ", broken " + s.broken().size() + ", first "
                        + s.broken().get(0) + "\n" + s.schedule().text() + "log:\n"
                        + String.join("\n", log.subList(Math.max(0, log.size() - LINES), log.size())),
                false);
    }
}
