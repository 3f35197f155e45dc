package ploverdale.tools.rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import ploverdale.tools.fleet.GatewayProcess.Launch;

/** Runs a scenario for a range of seeds, several at a time. */
final class SeedRuns {
    /** The run of a scenario for one seed. */
    interface Run {
        Check play(long seed) throws Exception;
    }

    /** The run of a scenario for one seed with gateways as processes. */
    interface LaunchedRun {
        Check play(Launch launch, long seed) throws Exception;
    }

    private SeedRuns() {}

    /** Does the same as {@link #play} with gateways as processes; a single failed check if the gateway is not built. */
    static List<Check> playLaunched(long firstSeed, int seeds, int atATime, LaunchedRun run)
            throws InterruptedException {
        Launch launch;
        try {
            launch = Launch.locate(List.of());
        } catch (IOException e) {
            return List.of(new Check("start of gateways as processes", e.getMessage(), false));
        }
        return play(firstSeed, seeds, atATime, seed -> run.play(launch, seed));
    }

    /**
     * Waits for all runs and returns their checks in the order of the seeds. A run that throws becomes a failed check.
     */
    static List<Check> play(long firstSeed, int seeds, int atATime, Run run) throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(atATime);
        try {
            List<Future<Check>> runs = new ArrayList<>();
            for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
                long runSeed = seed;
                runs.add(pool.submit(() -> run.play(runSeed)));
            }
            List<Check> checks = new ArrayList<>();
            for (Future<Check> result : runs) {
                try {
                    checks.add(result.get());
                } catch (ExecutionException e) {
                    checks.add(new Check("run that ended with an exception", String.valueOf(e.getCause()), false));
                }
            }
            return checks;
        } finally {
            pool.shutdown();
        }
    }
}
