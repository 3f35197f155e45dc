package ploverdale.tools.rig;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Plays a scenario for one seed after another, some at a time. */
final class SeedRuns {
    /** What is played for a seed. */
    interface Run {
        Check play(long seed) throws Exception;
    }

    private SeedRuns() {}

    /** Waits for all of them; a run that fails is a check that does not hold. The checks are in the order of the seeds. */
    static List<Check> play(long firstSeed, int seeds, int atATime, Run run) throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(atATime);
        try {
            List<Future<Check>> runs = new ArrayList<>();
            for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
                long s = seed;
                runs.add(pool.submit(() -> run.play(s)));
            }
            List<Check> checks = new ArrayList<>();
            for (Future<Check> r : runs) {
                try {
                    checks.add(r.get());
                } catch (ExecutionException e) {
                    checks.add(new Check("a day that was not played", String.valueOf(e.getCause()), false));
                }
            }
            return checks;
        } finally {
            pool.shutdown();
        }
    }
}
