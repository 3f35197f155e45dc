package ploverdale.tools.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import ploverdale.tools.fleet.FaultSchedule.Step;

/**
 * Shortens a failing fault schedule by leaving out ever smaller parts of its steps, as long as it still fails. The number
 * of runs is limited, since each one takes the full length of the schedule.
 */
public final class ScheduleShrinker {
    private final Predicate<FaultSchedule> fails;
    private int runsLeft;

    /**
     * @param fails runs a schedule and returns whether it fails
     * @param maxRuns how many schedules are run at most
     */
    public ScheduleShrinker(Predicate<FaultSchedule> fails, int maxRuns) {
        this.fails = fails;
        runsLeft = maxRuns;
    }

    /** Returns the shortest schedule that was found to fail; the given one if no shorter one does. */
    public FaultSchedule of(FaultSchedule schedule) {
        List<Step> steps = schedule.steps();
        for (int length = Math.max(1, steps.size() / 2); length >= 1 && !steps.isEmpty(); ) {
            List<Step> shorter = without(schedule, steps, length);
            if (shorter != null) {
                steps = shorter;
                length = Math.max(1, Math.min(length, steps.size() / 2));
            } else if (length == 1) {
                break;
            } else {
                length /= 2;
            }
        }
        return schedule.with(steps);
    }

    /** Leaves out one part of the given length at a time; returns the first remainder that fails, or null if none does. */
    private List<Step> without(FaultSchedule schedule, List<Step> steps, int length) {
        for (int from = 0; from < steps.size() && runsLeft > 0; from += length) {
            List<Step> remaining = new ArrayList<>(steps.subList(0, from));
            remaining.addAll(steps.subList(Math.min(steps.size(), from + length), steps.size()));
            List<Step> consistent = ScheduleGenerator.consistent(remaining);
            runsLeft--;
            if (fails.test(schedule.with(consistent))) {
                return consistent;
            }
        }
        return null;
    }
}
