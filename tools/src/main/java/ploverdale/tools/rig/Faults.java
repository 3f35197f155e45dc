package ploverdale.tools.rig;

import java.util.List;
import ploverdale.tools.fleet.FaultSchedule;
import ploverdale.tools.fleet.Fleet;
import ploverdale.tools.fleet.FleetResult;
import ploverdale.tools.fleet.ScheduleGenerator;
import ploverdale.tools.fleet.ScheduleShrinker;
import ploverdale.tools.fleet.Workload;

/**
 * Runs gateways as processes through random fault schedules: kills, pauses, restarts, broken and slow links, and an
 * unresponsive server. If a rule is broken, the check prints a schedule that reproduces it, shortened in a few
 * attempts.
 */
final class Faults {
    private static final int GATEWAYS = 4;
    private static final long DURATION_MS = 6000;
    private static final double REQUESTS_PER_SECOND = 40; // of each gateway
    private static final int SHRINK_ATTEMPTS = 6; // runs spent on shortening a failing schedule
    private static final int LOG_LINES = 60; // last lines of the log that a failed check prints

    private Faults() {}

    static List<Check> play(long firstSeed, int seeds, int atATime) throws InterruptedException {
        return SeedRuns.playLaunched(firstSeed, seeds, atATime, (launch, seed) -> {
            FaultSchedule schedule = ScheduleGenerator.generate(seed, GATEWAYS, DURATION_MS, Fleet.SERVERS);
            return check(schedule, Workload.even(launch, GATEWAYS, REQUESTS_PER_SECOND));
        });
    }

    /** Runs one schedule; if a rule is broken, looks for a shorter schedule that also breaks one. */
    static Check check(FaultSchedule schedule, Workload workload) throws Exception {
        FleetResult result = Fleet.run(schedule, workload);
        String name = "seed " + schedule.seed() + ", " + schedule.steps().size() + " steps: no rule broken";
        if (result.broken().isEmpty()) {
            return new Check(name, result.figures(), true);
        }
        FaultSchedule shortest =
                new ScheduleShrinker(candidate -> breaksRule(candidate, workload), SHRINK_ATTEMPTS).of(schedule);
        List<String> log = result.log();
        return new Check(
                name,
                result.figures() + ", broken " + result.broken().size() + ", first "
                        + result.broken().get(0) + "\n" + shortest.text() + "log:\n"
                        + String.join("\n", log.subList(Math.max(0, log.size() - LOG_LINES), log.size())),
                false);
    }

    private static boolean breaksRule(FaultSchedule schedule, Workload workload) {
        try {
            return !Fleet.run(schedule, workload).broken().isEmpty();
        } catch (Exception e) {
            return false; // the run failed, so it shows nothing about the rules
        }
    }
}
