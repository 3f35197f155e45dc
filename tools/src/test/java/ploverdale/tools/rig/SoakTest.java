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

/** A short soak run; a long one is started by hand with {@code rig soak --seeds 50}. */
@Timeout(300)
class SoakTest {
    private static final int SEEDS = 6;

    @Test
    void noRuleIsBrokenUnderDrainsAndOutdatedEndpointLists() throws Exception {
        List<Check> checks = Soak.play(1, SEEDS, 2);
        assertThat(checks)
                .hasSize(SEEDS)
                .allSatisfy(check -> assertThat(check.holds()).as("%s", check).isTrue());
    }

    private static List<Broken> play(Launch launch, String scheduleText) throws Exception {
        FaultSchedule schedule = FaultSchedule.read(scheduleText);
        return Fleet.run(schedule, Soak.workload(launch, schedule)).broken();
    }

    /**
     * Checks that the schedule breaks the draining rule with the mutation of the source file, and no rule without it.
     */
    private static void assertBrokenOnlyByMutation(
            String scheduleText, String file, String original, String replacement) throws Exception {
        Launch launch = Launch.locate(List.of());
        assertThat(play(launch, scheduleText)).isEmpty();
        try (MutationCheck mutation = MutationCheck.of(launch, file, original, replacement)) {
            assertThat(play(mutation.launch(launch), scheduleText))
                    .extracting(Broken::rule)
                    .contains(Rule.NOTHING_TO_DRAINING);
        }
    }

    /** One gateway, since a peer could report the drain before the restarted gateway serves. */
    @Test
    void drainedServerGetsRequestsIfTheStartDoesNotWaitForDiscovery() throws Exception {
        assertBrokenOnlyByMutation(
                """
                day seed=1 gateways=1 lasts=15000
                300 server s-second drains
                1500 kill n0
                1600 start n0
                1600 agent n0 a delay:3000
                """, "net/GatewayStartup.java", "FIRST_LIST_WAIT_MS = 5000", "FIRST_LIST_WAIT_MS = 0");
    }

    @Test
    void drainedServerGetsRequestsIfAnOlderListUndoesTheDrain() throws Exception {
        assertBrokenOnlyByMutation(
                """
                day seed=2 gateways=2 lasts=4500
                200 agent n0 b BEHIND
                300 server s-second drains
                1500 hang_up n0 b
                """, "state/EndpointLifecycle.java", "revision <= outOfServiceRevision", "revision < 0");
    }
}
