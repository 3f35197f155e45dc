package ploverdale.tools.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import ploverdale.tools.fleet.FaultSchedule.Action;
import ploverdale.tools.fleet.FaultSchedule.Step;

/** Tests that fault schedules are written and read, generated and shortened. */
class FaultScheduleTest {
    @Test
    void aScheduleIsReadAsItWasWrittenAndMalformedLinesAreQuoted() {
        for (long seed = 0; seed < 200; seed++) {
            FaultSchedule schedule = ScheduleGenerator.generate(seed, 4, 6000, Fleet.SERVERS);
            assertThat(FaultSchedule.read(schedule.text())).isEqualTo(schedule);
        }
        assertThatThrownBy(() -> FaultSchedule.read("day seed=1 gateways=2 lasts=100\n5 kill"))
                .hasMessageContaining("5 kill");
        assertThatThrownBy(() -> FaultSchedule.read("day seed=1 lasts=100")).hasMessageContaining("gateways");
    }

    @Test
    void generatedProcessStepsArePossibleInTheirOrder() {
        for (long seed = 0; seed < 500; seed++) {
            for (int g = 0; g < 4; g++) {
                String gateway = "n" + g;
                Action previous = null;
                for (Step s :
                        ScheduleGenerator.generate(seed, 4, 6000, Fleet.SERVERS).steps()) {
                    if (s.arguments().get(0).equals(gateway) && s.action().ordinal() <= Action.LEAVE.ordinal()) {
                        boolean startsOrResumes = s.action() == Action.START || s.action() == Action.GO_ON;
                        assertThat(startsOrResumes)
                                .as("seed %d, %s after %s", seed, s, previous)
                                .isEqualTo(previous != null);
                        assertThat(s.action() == Action.GO_ON).isEqualTo(previous == Action.STOP);
                        previous = startsOrResumes ? null : s.action();
                    }
                }
            }
        }
    }

    @Test
    void aFailingScheduleIsShortenedToTheStepsThatMakeItFail() {
        Predicate<FaultSchedule> fails = d -> d.steps().stream()
                        .anyMatch(
                                s -> s.action() == Action.KILL && s.arguments().contains("n2"))
                && d.steps().stream().anyMatch(s -> s.action() == Action.SERVER);
        List<Step> steps = List.of(
                Step.of(1, Action.WORDS, "n0", "n1", "loss:1"),
                Step.of(2, Action.KILL, "n2"),
                Step.of(3, Action.WAY, "n1", "discovery", "SILENT"),
                Step.of(4, Action.SERVER, "s-second", "SILENT"),
                Step.of(5, Action.START, "n2"),
                Step.of(6, Action.WAY, "n1", "discovery", "OPEN"));
        FaultSchedule shortest = new ScheduleShrinker(fails, 100).of(new FaultSchedule(1, 3, 100, steps));
        assertThat(shortest.steps()).containsExactly(steps.get(1), steps.get(3));
        assertThat(new ScheduleShrinker(fails, 0)
                        .of(new FaultSchedule(1, 3, 100, steps))
                        .steps())
                .as("without runs")
                .isEqualTo(steps);
    }
}
