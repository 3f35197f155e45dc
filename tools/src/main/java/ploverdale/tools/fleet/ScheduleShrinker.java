package ploverdale.tools.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import ploverdale.tools.fleet.FaultSchedule.Step;

/**
 * Makes a day that fails shorter for as long as it still does: leaves out ever smaller parts of its steps. Tries so many
 * days at most, since each takes its time.
 */
public final class ScheduleShrinker {
    private final Predicate<FaultSchedule> fails;
    private int triesLeft;

    public ScheduleShrinker(Predicate<FaultSchedule> fails, int triesMost) {
        this.fails = fails;
        triesLeft = triesMost;
    }

    /** The shortest that was found to fail; the day itself where none was. */
    public FaultSchedule of(FaultSchedule day) {
        List<Step> steps = day.steps();
        for (int part = Math.max(1, steps.size() / 2); part >= 1 && !steps.isEmpty(); ) {
            List<Step> shorter = without(day, steps, part);
            if (shorter != null) {
                steps = shorter;
                part = Math.max(1, Math.min(part, steps.size() / 2));
            } else if (part == 1) {
                break;
            } else {
                part /= 2;
            }
        }
        return day.with(steps);
    }

    private List<Step> without(FaultSchedule day, List<Step> steps, int part) {
        for (int from = 0; from < steps.size() && triesLeft > 0; from += part) {
            List<Step> rest = new ArrayList<>(steps.subList(0, from));
            rest.addAll(steps.subList(Math.min(steps.size(), from + part), steps.size()));
            List<Step> kept = ScheduleGenerator.consistent(rest);
            triesLeft--;
            if (fails.test(day.with(kept))) {
                return kept;
            }
        }
        return null;
    }
}
