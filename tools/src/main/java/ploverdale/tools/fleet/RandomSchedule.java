package ploverdale.tools.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import ploverdale.tools.fleet.FaultSchedule.Action;
import ploverdale.tools.fleet.FaultSchedule.Step;

/** A schedule that is being drawn at random by a generator. */
abstract class RandomSchedule {
    /** The longest request deadline, 1.5 s, plus 0.7 s. */
    static final long KILL_AFTER_TERM_MS = 2200;

    private final RandomGenerator random;
    private final List<Step> steps = new ArrayList<>();

    RandomSchedule(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Returns the source of the random choices. */
    final RandomGenerator random() {
        return random;
    }

    /** Returns the steps that have been drawn. */
    final List<Step> steps() {
        return steps;
    }

    /** Returns a random number between two bounds, both included. */
    final int between(int min, int max) {
        return random.nextInt(min, max + 1);
    }

    /** Returns true with the given probability. */
    final boolean withProbability(double probability) {
        return random.nextDouble() < probability;
    }

    /** Adds a step. */
    final void add(long atMs, Action action, Object... arguments) {
        steps.add(Step.of(atMs, action, arguments));
    }

    /** Has a gateway shut down gracefully; returns when its process is killed. */
    final long terminate(String gateway, long atMs) {
        long killedMs = atMs + KILL_AFTER_TERM_MS;
        add(atMs, Action.LEAVE, gateway);
        add(killedMs, Action.KILL, gateway);
        return killedMs;
    }
}
