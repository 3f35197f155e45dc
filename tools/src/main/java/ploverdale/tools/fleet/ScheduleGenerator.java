package ploverdale.tools.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import ploverdale.tools.fleet.FaultSchedule.Action;
import ploverdale.tools.fleet.FaultSchedule.Step;

/** Generates random fault schedules by seed: one to four faults, each of which is undone before the run ends. */
public final class ScheduleGenerator {
    /** The time without faults at the beginning of a run. */
    private static final long QUIET_START_MS = 500;

    /** The time without faults at the end of a run. */
    private static final long QUIET_END_MS = 1500;

    private static final int MAX_FAULTS = 4;

    private ScheduleGenerator() {}

    /** Returns the schedule of the given seed. */
    public static FaultSchedule generate(long seed, int gateways, long lastsMs, List<String> servers) {
        RandomGenerator random = new SplittableRandom(seed);
        List<Step> steps = new ArrayList<>();
        int faults = 1 + random.nextInt(MAX_FAULTS);
        for (int i = 0; i < faults; i++) {
            long from = QUIET_START_MS + random.nextLong(lastsMs - QUIET_END_MS - QUIET_START_MS - 400);
            long to = from + 300 + random.nextLong(lastsMs - QUIET_END_MS - from - 299);
            steps.addAll(fault(random, from, to, gateways, servers));
        }
        return new FaultSchedule(seed, gateways, lastsMs, consistent(steps));
    }

    private static List<Step> fault(RandomGenerator random, long from, long to, int gateways, List<String> servers) {
        String gateway = "n" + random.nextInt(gateways);
        String peer = "n" + random.nextInt(gateways);
        String server = servers.get(random.nextInt(servers.size()));
        String linkEnd = random.nextInt(4) == 0 ? "discovery" : server;
        return switch (random.nextInt(9)) {
            case 0 -> List.of(Step.of(from, Action.KILL, gateway), Step.of(to, Action.START, gateway));
            case 1 -> List.of(Step.of(from, Action.STOP, gateway), Step.of(to, Action.GO_ON, gateway));
            case 2 -> List.of(Step.of(from, Action.LEAVE, gateway), Step.of(to, Action.START, gateway));
            case 3 ->
                List.of(
                        Step.of(from, Action.WAY, gateway, linkEnd, random.nextBoolean() ? "SILENT" : "SILENT_BACK"),
                        Step.of(to, Action.WAY, gateway, linkEnd, "OPEN"));
            case 4 ->
                List.of(
                        Step.of(from, Action.WAY, gateway, server, "REFUSES"),
                        Step.of(to, Action.WAY, gateway, server, "OPEN"));
            case 5 ->
                List.of(
                        Step.of(from, Action.WAY, gateway, server, random.nextBoolean() ? "delay:40" : "bytes:4000"),
                        Step.of(to, Action.WAY, gateway, server, "OPEN"));
            case 6 ->
                List.of(
                        Step.of(from, Action.WORDS, gateway, peer, "loss:1"),
                        Step.of(to, Action.WORDS, gateway, peer, "usual"));
            case 7 -> List.of(Step.of(from, Action.WAY, gateway, server, "reset"));
            default ->
                List.of(Step.of(from, Action.SERVER, server, "SILENT"), Step.of(to, Action.SERVER, server, "restarts"));
        };
    }

    /**
     * Returns the steps without those that are impossible in the state that the earlier ones lead to, such as pausing a dead
     * process or starting a live one, and without faults of a second server while one has a fault.
     */
    static List<Step> consistent(List<Step> steps) {
        List<Step> kept = new ArrayList<>();
        TargetStates states = new TargetStates();
        for (Step step : new FaultSchedule(0, 0, 0, steps).steps()) {
            if (states.apply(step)) {
                kept.add(step);
            }
        }
        return kept;
    }

    /** What the steps so far have done to processes and servers. */
    private static final class TargetStates {
        private final Map<String, Action> processFaults = new HashMap<>(); // the fault in force, by gateway
        private final Set<String> faultyServers = new HashSet<>();

        /** Applies a step; returns false, and changes nothing, if it is impossible. */
        private boolean apply(Step step) {
            String target = step.arguments().get(0);
            return switch (step.action()) {
                case KILL, LEAVE, STOP -> processFaults.putIfAbsent(target, step.action()) == null;
                case START -> processFaults.remove(target, Action.KILL) || processFaults.remove(target, Action.LEAVE);
                case GO_ON -> processFaults.remove(target, Action.STOP);
                case SERVER -> changeServer(target, step.arguments().get(1));
                default -> true;
            };
        }

        /** Allows a fault of one server at a time: a group survives the loss of one, not of two. */
        private boolean changeServer(String server, String change) {
            if (change.equals("restarts") || change.equals("heals")) {
                return faultyServers.remove(server);
            }
            return faultyServers.isEmpty() && faultyServers.add(server);
        }
    }
}
