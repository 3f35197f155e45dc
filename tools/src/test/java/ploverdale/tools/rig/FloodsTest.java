package ploverdale.tools.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import ploverdale.tools.fleet.FaultSchedule;
import ploverdale.tools.fleet.Fleet;
import ploverdale.tools.fleet.FleetResult;
import ploverdale.tools.fleet.GatewayProcess.Launch;
import ploverdale.tools.fleet.MutationCheck;
import ploverdale.tools.ledger.Ledger.Broken;
import ploverdale.tools.ledger.Ledger.Rule;
import ploverdale.tools.stand.FloodForm;

/** Floods of a few seconds; longer series are started by hand with {@code rig floods --seeds 50}. */
@Timeout(300)
class FloodsTest {
    private static final int SEEDS = 6;

    @ParameterizedTest
    @EnumSource
    void otherClientsAreAnsweredInTimeWhileClientsSendOneFormAtFullSpeed(FloodForm form) throws Exception {
        assertHolds("""
                day seed=1 gateways=1 lasts=3000
                500 flood n0 %s 6 800 read 9000000000
                1600 flood n0 %s 6 800 unread 9000000000
                """.formatted(form, form));
    }

    private static void assertHolds(String scheduleText) throws Exception {
        FaultSchedule schedule = FaultSchedule.read(scheduleText);
        Check check = Floods.check(Fleet.run(schedule, Floods.workload(Launch.locate(List.of()), schedule)));
        assertThat(check.holds()).as("%s", check).isTrue();
    }

    @Test
    void inputOfPausedAndClosedConnectionsTakesNoDirectMemory() throws Exception {
        assertHolds("""
                day seed=2 gateways=1 lasts=6000
                600 flood n0 SET_COMMANDS 8 2000 unread 3300000
                3000 flood n0 NO_TIME 6 1300 read 9000000000
                3300 flood n0 MIXED 60 1300 read 9000000000
                """);
    }

    @Test
    void otherClientsAreNotRefusedWhileAFloodLasts() throws Exception {
        FaultSchedule schedule = FaultSchedule.read("""
                day seed=1 gateways=1 lasts=11000
                500 flood n0 SYNCS 6 10000 read 9000000000
                """);
        FleetResult result = Fleet.run(schedule, Floods.workload(Launch.locate(List.of()), schedule));
        assertThat(result.readsSucceeded()).as(result.figures()).isGreaterThan(result.readsSent() * 9 / 10);
    }

    @Test
    void noRequestIsSentAfterItsClientLeftWithMuchUnread() throws Exception {
        assertHolds("""
                day seed=7 gateways=1 lasts=5000
                900 flood n0 UNKNOWN_TYPES 8 2000 read 9000000000
                1700 flood n0 READS 4 2500 unread 1500000
                """);
    }

    /** Regression test for loss of time and memory to clients that send more than is run at once, leave, and connect again. */
    @ParameterizedTest
    @EnumSource(names = {"READS", "UNKNOWN_CLASSES", "NO_ID", "UNKNOWN_GROUPS"})
    void otherClientsAreAnsweredInTimeWhileClientsThatHaveSentMuchLeaveAndReconnect(FloodForm form) throws Exception {
        assertHolds("""
                day seed=3 gateways=1 lasts=7000
                500 flood n0 %s 10 6000 read 150000
                """.formatted(form));
    }

    private static FleetResult playLongKeys(Launch launch) throws Exception {
        FaultSchedule schedule = FaultSchedule.read("day seed=1 gateways=1 lasts=12000\n");
        return Fleet.run(schedule, Floods.withLongKeys(Floods.workload(launch, schedule)));
    }

    @Test
    void longKeysTakeNoMemoryOnceTheirWritesAreAnswered() throws Exception {
        Check check = Floods.check(playLongKeys(Launch.locate(List.of())));
        assertThat(check.holds()).as("%s", check).isTrue();
    }

    /** Checks that these writes end a gateway that keeps their keys, and that the run shows it. */
    @Test
    void longKeysEndAGatewayThatKeepsThem() throws Exception {
        Launch launch = Launch.locate(List.of());
        String original = "private static UUID hash(SessionId session) {";
        String replacement = "private static final java.util.List<SessionId> KEPT = new java.util.ArrayList<>();"
                + original + "KEPT.add(session);";
        try (MutationCheck mutation = MutationCheck.of(launch, "state/SessionWrites.java", original, replacement)) {
            assertThat(playLongKeys(mutation.launch(launch)).broken())
                    .extracting(Broken::rule)
                    .contains(Rule.NO_CRASH);
        }
    }

    @Test
    @Tag("known-red")
    void noRequestIsSentAfterItsClientLeftWhileTcpHoldsBackItsInput() throws Exception {
        Check check = Floods.play(109, 1, 1).get(0);
        assertThat(check.holds()).as("%s", check).isTrue();
    }

    @Test
    void otherClientsAreAnsweredInTimeAndMemoryIsBoundedUnderRandomFloods() throws Exception {
        List<Check> checks = Floods.play(1, SEEDS, 2);
        assertThat(checks)
                .hasSize(SEEDS)
                .allSatisfy(check -> assertThat(check.holds()).as("%s", check).isTrue());
    }
}
