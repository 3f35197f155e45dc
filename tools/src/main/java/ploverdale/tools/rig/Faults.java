package ploverdale.tools.rig;

import java.io.IOException;
import java.util.List;
import ploverdale.tools.fleet.FaultSchedule;
import ploverdale.tools.fleet.Fleet;
import ploverdale.tools.fleet.FleetResult;
import ploverdale.tools.fleet.GatewayProcess.Launch;
import ploverdale.tools.fleet.ScheduleGenerator;
import ploverdale.tools.fleet.ScheduleShrinker;
import ploverdale.tools.fleet.Workload;

/**
 * Gateways as processes through drawn days of kills, stops, restarts, cut and slow ways and a silent server. A day on which
 * a rule breaks is told as a script that can be played again, as short as a few tries make it.
 */
final class Faults {
    private static final int GATEWAYS = 4;
    private static final long LASTS_MS = 6000;
    private static final double OPS_PER_SECOND = 40; // of each gateway
    private static final int TRIES = 6; // to make a day that fails shorter
    private static final int LINES = 60; // of its log

    private Faults() {}

    static List<Check> play(long firstSeed, int seeds, int atATime) throws InterruptedException {
        Launch launch;
        try {
            launch = Launch.locate(List.of());
        } catch (IOException e) {
            return List.of(new Check("gateways as processes", e.getMessage(), false));
        }
        return SeedRuns.play(firstSeed, seeds, atATime, seed -> {
            FaultSchedule day = ScheduleGenerator.generate(seed, GATEWAYS, LASTS_MS, Fleet.SERVERS);
            return check(day, Workload.even(launch, GATEWAYS, OPS_PER_SECOND));
        });
    }

    /** One day, and the shortest of its like that fails, too, if it does. */
    static Check check(FaultSchedule day, Workload shape) throws Exception {
        FleetResult shown = Fleet.run(day, shape);
        String name = "seed " + day.seed() + ", " + day.steps().size() + " steps: no rule broken";
        if (shown.broken().isEmpty()) {
            return new Check(name, shown.figures(), true);
        }
        FaultSchedule shortest = new ScheduleShrinker(d -> breaks(d, shape), TRIES).of(day);
        List<String> log = shown.log();
        return new Check(
                name,
                shown.figures() + ", broken " + shown.broken().size() + ", first "
                        + shown.broken().get(0) + "\n" + shortest.text() + "log:\n"
                        + String.join("\n", log.subList(Math.max(0, log.size() - LINES), log.size())),
                false);
    }

    private static boolean breaks(FaultSchedule day, Workload shape) {
        try {
            return !Fleet.run(day, shape).broken().isEmpty();
        } catch (Exception e) {
            return false; // not played, and so no proof
        }
    }
}
