package ploverdale.tools.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import ploverdale.tools.fleet.FaultSchedule.Step;
import ploverdale.tools.fleet.FaultSchedule.What;

/** Scripts of days: written, read, drawn and made shorter. */
class FaultScheduleTest {
    @Test
    void aDayIsReadAsItWasWrittenAndMistakesAreNamed() {
        for (long seed = 0; seed < 200; seed++) {
            FaultSchedule day = ScheduleGenerator.day(seed, 4, 6000, Fleet.SERVERS);
            assertThat(FaultSchedule.read(day.text())).isEqualTo(day);
        }
        assertThatThrownBy(() -> FaultSchedule.read("day seed=1 gateways=2 lasts=100\n5 kill"))
                .hasMessageContaining("5 kill");
        assertThatThrownBy(() -> FaultSchedule.read("day seed=1 lasts=100")).hasMessageContaining("gateways");
    }

    @Test
    void whatIsDrawnCanBeGoneThrough() {
        for (long seed = 0; seed < 500; seed++) {
            for (int g = 0; g < 4; g++) {
                String name = "n" + g;
                What was = null;
                for (Step s :
                        ScheduleGenerator.day(seed, 4, 6000, Fleet.SERVERS).steps()) {
                    if (s.words().get(0).equals(name) && s.what().ordinal() <= What.LEAVE.ordinal()) {
                        boolean back = s.what() == What.START || s.what() == What.GO_ON;
                        assertThat(back)
                                .as("seed %d, %s after %s", seed, s, was)
                                .isEqualTo(was != null);
                        assertThat(s.what() == What.GO_ON).isEqualTo(was == What.STOP);
                        was = back ? null : s.what();
                    }
                }
            }
        }
    }

    @Test
    void aDayThatFailsIsMadeAsShortAsItStillFails() {
        Predicate<FaultSchedule> fails = d -> d.steps().stream()
                        .anyMatch(s -> s.what() == What.KILL && s.words().contains("n2"))
                && d.steps().stream().anyMatch(s -> s.what() == What.SERVER);
        List<Step> steps = List.of(
                Step.of(1, What.WORDS, "n0", "n1", "loss:1"),
                Step.of(2, What.KILL, "n2"),
                Step.of(3, What.WAY, "n1", "discovery", "SILENT"),
                Step.of(4, What.SERVER, "s-second", "SILENT"),
                Step.of(5, What.START, "n2"),
                Step.of(6, What.WAY, "n1", "discovery", "OPEN"));
        FaultSchedule shortest = new ScheduleShrinker(fails, 100).of(new FaultSchedule(1, 3, 100, steps));
        assertThat(shortest.steps()).containsExactly(steps.get(1), steps.get(3));
        assertThat(new ScheduleShrinker(fails, 0)
                        .of(new FaultSchedule(1, 3, 100, steps))
                        .steps())
                .as("without tries")
                .isEqualTo(steps);
    }
}
