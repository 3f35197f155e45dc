package ploverdale.tools.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import ploverdale.tools.fleet.FaultSchedule.Step;
import ploverdale.tools.fleet.FaultSchedule.What;

/** Draws days by seed: some faults, each over some time, each made good before the day ends. */
public final class ScheduleGenerator {
    private static final long CALM_MS = 500; // before the first fault
    private static final long LAST_MS = 1500; // after the last one is made good
    private static final int FAULTS_MOST = 4;

    private ScheduleGenerator() {}

    /** A day of that seed. */
    public static FaultSchedule day(long seed, int gateways, long lastsMs, List<String> servers) {
        RandomGenerator random = new SplittableRandom(seed);
        List<Step> steps = new ArrayList<>();
        int faults = 1 + random.nextInt(FAULTS_MOST);
        for (int i = 0; i < faults; i++) {
            long from = CALM_MS + random.nextLong(lastsMs - LAST_MS - CALM_MS - 400);
            long to = from + 300 + random.nextLong(lastsMs - LAST_MS - from - 299);
            steps.addAll(fault(random, from, to, gateways, servers));
        }
        return new FaultSchedule(seed, gateways, lastsMs, consistent(steps));
    }

    private static List<Step> fault(RandomGenerator random, long from, long to, int gateways, List<String> servers) {
        String g = "n" + random.nextInt(gateways);
        String h = "n" + random.nextInt(gateways);
        String s = servers.get(random.nextInt(servers.size()));
        String end = random.nextInt(4) == 0 ? "discovery" : s;
        return switch (random.nextInt(9)) {
            case 0 -> List.of(Step.of(from, What.KILL, g), Step.of(to, What.START, g));
            case 1 -> List.of(Step.of(from, What.STOP, g), Step.of(to, What.GO_ON, g));
            case 2 -> List.of(Step.of(from, What.LEAVE, g), Step.of(to, What.START, g));
            case 3 ->
                List.of(
                        Step.of(from, What.WAY, g, end, random.nextBoolean() ? "SILENT" : "SILENT_BACK"),
                        Step.of(to, What.WAY, g, end, "OPEN"));
            case 4 -> List.of(Step.of(from, What.WAY, g, s, "REFUSES"), Step.of(to, What.WAY, g, s, "OPEN"));
            case 5 ->
                List.of(
                        Step.of(from, What.WAY, g, s, random.nextBoolean() ? "delay:40" : "bytes:4000"),
                        Step.of(to, What.WAY, g, s, "OPEN"));
            case 6 -> List.of(Step.of(from, What.WORDS, g, h, "loss:1"), Step.of(to, What.WORDS, g, h, "usual"));
            case 7 -> List.of(Step.of(from, What.WAY, g, s, "reset"));
            default -> List.of(Step.of(from, What.SERVER, s, "SILENT"), Step.of(to, What.SERVER, s, "restarts"));
        };
    }

    /** Leaves out what a process cannot go through: stopped while it is dead, started while it lives, and the like. */
    static List<Step> consistent(List<Step> steps) {
        List<Step> kept = new ArrayList<>();
        java.util.Map<String, What> was = new java.util.HashMap<>();
        java.util.Set<String> down = new java.util.HashSet<>();
        for (Step s : new FaultSchedule(0, 0, 0, steps).steps()) {
            String who = s.words().get(0);
            boolean ok = switch (s.what()) {
                case KILL, LEAVE, STOP -> !was.containsKey(who);
                case START -> was.get(who) == What.KILL || was.get(who) == What.LEAVE;
                case GO_ON -> was.get(who) == What.STOP;
                case SERVER ->
                    s.words().get(1).equals("restarts") || s.words().get(1).equals("heals")
                            ? down.remove(who)
                            : down.isEmpty() && down.add(who); // a group outlives one server, not two
                default -> true;
            };
            if (ok) {
                kept.add(s);
                switch (s.what()) {
                    case KILL, LEAVE, STOP -> was.put(who, s.what());
                    case START, GO_ON -> was.remove(who);
                    default -> {}
                }
            }
        }
        return kept;
    }
}
