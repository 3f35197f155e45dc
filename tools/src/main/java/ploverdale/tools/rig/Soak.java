package ploverdale.tools.rig;

import java.io.IOException;
import java.util.List;
import ploverdale.tools.fleet.FaultSchedule;
import ploverdale.tools.fleet.Fleet;
import ploverdale.tools.fleet.GatewayProcess.Launch;
import ploverdale.tools.fleet.SoakScheduleGenerator;
import ploverdale.tools.fleet.Workload;
import ploverdale.tools.fleet.Workload.ConnectionLoad;

/** Gateways as processes through drawn days on which servers drain, are removed and return under all other faults. */
final class Soak {
    private static final double REQUESTS_PER_SECOND = 80; // of each gateway
    private static final ConnectionLoad CROWD = new ConnectionLoad(60, 160); // near the limit of descriptors
    private static final int CROWDED_EVERY = 3; // seeds

    private Soak() {}

    static List<Check> play(long firstSeed, int seeds, int atATime) throws InterruptedException {
        Launch launch;
        try {
            launch = Launch.locate(List.of());
        } catch (IOException e) {
            return List.of(new Check("gateways as processes", e.getMessage(), false));
        }
        return SeedRuns.play(firstSeed, seeds, atATime, seed -> {
            FaultSchedule day = day(seed);
            return Faults.check(day, workload(launch, day));
        });
    }

    /** The day of that seed. */
    static FaultSchedule day(long seed) {
        return SoakScheduleGenerator.generate(seed, Fleet.SERVERS);
    }

    /** What is asked on that day. */
    static Workload workload(Launch launch, FaultSchedule day) {
        Workload workload =
                Workload.even(launch, day.gateways(), REQUESTS_PER_SECOND).withOwnAgents();
        return day.seed() % CROWDED_EVERY == 0 ? workload.with(CROWD) : workload;
    }
}
