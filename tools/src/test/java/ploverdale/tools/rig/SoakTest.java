package ploverdale.tools.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ploverdale.tools.fleet.FaultSchedule;
import ploverdale.tools.fleet.Fleet;
import ploverdale.tools.fleet.GatewayProcess.Launch;
import ploverdale.tools.fleet.MutationCheck;
import ploverdale.tools.ledger.Ledger.Broken;
import ploverdale.tools.ledger.Ledger.Rule;

/** Short seeded soak; the long one is started by hand: {@code rig soak --seeds 50}. */
@Timeout(300)
class SoakTest {
    private static final int SEEDS = 6;

    @Test
    void noRuleBreaksOnDaysOfDrainsAndOutdatedKnowledge() throws Exception {
        List<Check> checks = Soak.play(1, SEEDS, 2);
        assertThat(checks)
                .hasSize(SEEDS)
                .allSatisfy(check -> assertThat(check.holds()).as("%s", check).isTrue());
    }

    private static List<Broken> play(Launch launch, String script) throws Exception {
        FaultSchedule day = FaultSchedule.read(script);
        return Fleet.run(day, Soak.workload(launch, day)).broken();
    }

    private static void isFoundOnlyWithoutItsGuard(String script, String file, String guard, String instead)
            throws Exception {
        Launch launch = Launch.locate(List.of());
        assertThat(play(launch, script)).isEmpty();
        try (MutationCheck mutation = MutationCheck.of(launch, file, guard, instead)) {
            assertThat(play(mutation.launch(launch), script))
                    .extracting(Broken::rule)
                    .contains(Rule.NOTHING_TO_DRAINING);
        }
    }

    @Test
    void aStartThatDoesNotWaitForItsAgentIsFound() throws Exception {
        isFoundOnlyWithoutItsGuard(
                """
                day seed=1 gateways=2 lasts=8000
                300 server s-second drains
                1500 kill n0
                1600 start n0
                1600 agent n0 a delay:2000
                """, "net/GatewayStartup.java", "FIRST_LIST_WAIT_MS = 5000", "FIRST_LIST_WAIT_MS = 0");
    }

    @Test
    void anOlderListThatUndoesADrainIsFound() throws Exception {
        isFoundOnlyWithoutItsGuard(
                """
                day seed=2 gateways=2 lasts=4500
                200 agent n0 b BEHIND
                300 server s-second drains
                1500 hang_up n0 b
                """, "state/EndpointLifecycle.java", "revision <= outOfServiceRevision", "revision < 0");
    }
}
