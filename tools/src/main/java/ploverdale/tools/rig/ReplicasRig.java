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
import ploverdale.tools.stand.RoamingClients;

/**
 * Sessions and submits kept by gateways as processes, with clients that roam and submit again, through drawn days of faults and
 * datagrams lost between any two. The ledger holds what clients were promised. Beside each day the same without, which breaks
 * it: so the check can fail.
 */
final class ReplicasRig {
    private static final int[] SIZES = {2, 3, 5};
    private static final long LASTS_MS = 9000;
    private static final long SETTLES_MS = 4500; // submits are vouched for a window after the start
    private static final double OPS_PER_SECOND = 5; // of each gateway, of clients that do not roam
    static final RoamingClients.Habit HABIT = new RoamingClients.Habit(1000, 220, true);
    private static final String KEPT =
            "{\"sessions\":{\"keep_ms\":20000},\"submits\":{\"window_ms\":4000,\"retries_marked\":true},"
                    + "\"ask_ms\":60,\"wait_ms\":150,\"bytes_per_second\":400000";

    private ReplicasRig() {}

    static Path file(boolean waits) throws IOException {
        return Files.writeString(
                Files.createTempFile("fleet", ".json"), KEPT + (waits ? ",\"wait_for_copies\":[\"put\"]}" : "}"));
    }

    /** A drawn day on which some datagrams between any two are lost, up to half of them. */
    private static FaultSchedule day(long seed) {
        int gateways = SIZES[(int) (seed % SIZES.length)];
        FaultSchedule drawn = ScheduleGenerator.generate(seed, gateways, LASTS_MS, Fleet.SERVERS);
        double loss = new SplittableRandom(~seed).nextInt(3) * 0.25;
        List<Step> steps = new ArrayList<>(drawn.steps());
        for (int i = 0; i < gateways && loss > 0; i++) {
            for (int k = 0; k < gateways; k++) {
                if (i != k) {
                    steps.add(Step.of(1, Action.WORDS, "n" + i, "n" + k, "loss:" + loss));
                }
            }
        }
        return new FaultSchedule(seed, gateways, LASTS_MS, steps);
    }

    private static Workload shape(Launch launch, FaultSchedule day, RoamingClients.Habit habit) {
        return new Workload(
                launch,
                Collections.nCopies(day.gateways(), OPS_PER_SECOND),
                SETTLES_MS,
                (request, server, now, comes) -> {},
                habit);
    }

    static List<Check> play(long firstSeed, int seeds, int atATime) throws InterruptedException {
        List<Check> checks = new ArrayList<>();
        try {
            Path file = file(true);
            Path sendsOn = file(false);
            Launch with = Launch.locate(List.of("--fleet", file.toString()));
            Launch without = Launch.locate(List.of());
            ExecutorService pool = Executors.newFixedThreadPool(atATime);
            List<Future<FleetResult[]>> runs = new ArrayList<>();
            for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
                FaultSchedule day = day(seed);
                runs.add(pool.submit(() -> new FleetResult[] {
                    Fleet.run(day, shape(with, day, HABIT)), Fleet.run(day, shape(without, day, HABIT))
                }));
            }
            int sessions = 0;
            int kept = 0;
            int broken = 0;
            int again = 0;
            for (Future<FleetResult[]> r : runs) {
                FleetResult[] both = r.get();
                checks.add(check(both[0], both[1]));
                sessions += both[0].reconnectingClients().sessions();
                again += both[0].reconnectingClients().submittedAgain();
                kept += both[0].broken().size();
                broken += both[1].broken().size();
            }
            pool.shutdown();
            checks.add(new Check(
                    "without what is kept, the same days break the promises",
                    sessions + " sessions, " + again + " writes submitted again; broken " + kept + " times with it and "
                            + broken + " without",
                    broken > 0));
            checks.add(costs(with, Launch.locate(List.of("--fleet", sendsOn.toString())), without));
            Files.delete(file);
            Files.delete(sendsOn);
        } catch (IOException e) {
            checks.add(new Check("gateways as processes", e.getMessage(), false));
        } catch (ExecutionException e) {
            checks.add(new Check("a day that was not played", String.valueOf(e.getCause()), false));
        }
        return checks;
    }

    private static Check check(FleetResult s, FleetResult plain) {
        int acked = s.reconnectingClients().sessions() == 0
                ? 0
                : (int) (s.reconnectingClients().writes().getTotalCount()
                        + s.reconnectingClients().reads().getTotalCount());
        int without = (int) (plain.reconnectingClients().writes().getTotalCount()
                + plain.reconnectingClients().reads().getTotalCount());
        boolean holds = s.broken().isEmpty() && 2 * acked > without;
        return new Check(
                "seed " + s.schedule().seed() + ", " + s.schedule().gateways() + " gateways, "
                        + s.schedule().steps().size() + " steps: no promise broken, half served of what is without",
                s.reconnectingClients().sessions() + " sessions, " + acked + " of "
                        + s.reconnectingClients().asked() + " ops acked, " + without + " without, "
                        + s.reconnectingClients().submittedAgain() + " submitted again"
                        + (holds
                                ? ""
                                : ", broken: " + s.broken() + "\n"
                                        + s.schedule().text() + "log:\n" + String.join("\n", s.log())),
                holds);
    }

    /** What the wait for copies and the asking of keepers add, on a day without faults. */
    private static Check costs(Launch waits, Launch sendsOn, Launch without) {
        FaultSchedule calm = new FaultSchedule(77, 3, LASTS_MS, List.of());
        StringBuilder b = new StringBuilder();
        boolean holds = true;
        try {
            for (Launch l : List.of(without, sendsOn, waits)) {
                FleetResult s = Fleet.run(calm, shape(l, calm, new RoamingClients.Habit(1000, 220, false)));
                b.append(l == without ? "without" : l == sendsOn ? "; kept" : "; acks wait")
                        .append(": writes ")
                        .append(times(s.reconnectingClients().writes()))
                        .append(", reads ")
                        .append(times(s.reconnectingClients().reads()));
                holds &= l == without || s.broken().isEmpty();
            }
        } catch (Exception e) {
            return new Check("what it adds", String.valueOf(e), false);
        }
        return new Check("what it adds, connecting included, three gateways", b.toString(), holds);
    }

    private static String times(Histogram h) {
        return String.format(
                Locale.ROOT,
                "p50 %.1f ms p99 %.1f ms",
                h.getValueAtPercentile(50) / 1000.0,
                h.getValueAtPercentile(99) / 1000.0);
    }
}
