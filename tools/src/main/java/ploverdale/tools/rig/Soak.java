package ploverdale.tools.rig;

import java.util.List;
import ploverdale.tools.fleet.FaultSchedule;
import ploverdale.tools.fleet.Fleet;
import ploverdale.tools.fleet.GatewayProcess.Launch;
import ploverdale.tools.fleet.SoakScheduleGenerator;
import ploverdale.tools.fleet.Workload;
import ploverdale.tools.fleet.Workload.ConnectionLoad;

/** Runs gateways as processes while servers drain, are removed and return, under all other kinds of faults. */
final class Soak {
    private static final double REQUESTS_PER_SECOND = 80; // of each gateway
    private static final ConnectionLoad CROWD = new ConnectionLoad(60, 160); // close to the descriptor limit
    private static final int CROWDED_SEED_INTERVAL = 3; // every third seed has many connections

    private Soak() {}

    static List<Check> play(long firstSeed, int seeds, int atATime) throws InterruptedException {
        return SeedRuns.playLaunched(firstSeed, seeds, atATime, (launch, seed) -> {
            FaultSchedule schedule = schedule(seed);
            return Faults.check(schedule, workload(launch, schedule));
        });
    }

    /** Returns the fault schedule of that seed. */
    static FaultSchedule schedule(long seed) {
        return SoakScheduleGenerator.generate(seed, Fleet.SERVERS);
    }

    /** Returns the load for that schedule. */
    static Workload workload(Launch launch, FaultSchedule schedule) {
        Workload workload =
                Workload.even(launch, schedule.gateways(), REQUESTS_PER_SECOND).withOwnAgents();
        return schedule.seed() % CROWDED_SEED_INTERVAL == 0 ? workload.with(CROWD) : workload;
    }
}
