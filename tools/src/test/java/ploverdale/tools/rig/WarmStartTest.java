package ploverdale.tools.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Two seeds of the scenario; the command line runs more. */
class WarmStartTest {
    private static final long SEED = 1;

    @Test
    void noRuleIsBrokenAndTheFormerPrimaryGetsNoWrite() throws InterruptedException {
        System.out.println("warm-start, seed " + SEED);
        List<Check> checks = WarmStart.play(SEED, 2, 2);
        assertThat(checks).hasSize(13).allMatch(Check::holds);
    }
}
