package ploverdale.tools.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ploverdale.tools.fleet.FaultSchedule;
import ploverdale.tools.fleet.Fleet;
import ploverdale.tools.fleet.FleetResult;
import ploverdale.tools.fleet.GatewayProcess.Launch;
import ploverdale.tools.fleet.MutationCheck;
import ploverdale.tools.fleet.Workload;
import ploverdale.tools.ledger.Ledger.Broken;
import ploverdale.tools.ledger.Ledger.Rule;
import ploverdale.tools.stand.OverlappingWrites;
import ploverdale.tools.stand.ReconnectingClients;

/** Replication among gateway processes, for few sessions whose requests follow one another closely at any gateway. */
@Timeout(120)
class ReplicasRigTest {
    private static final ReconnectingClients.Behavior FEW_SESSIONS = new ReconnectingClients.Behavior(12, 400, true);

    private static Path fleetFile;

    @BeforeAll
    static void writeFleetFile() throws Exception {
        fleetFile = ReplicasRig.writeFleetFile(true);
    }

    @AfterAll
    static void deleteFleetFile() throws Exception {
        Files.delete(fleetFile);
    }

    private static FleetResult play(String scheduleText, List<String> arguments) throws Exception {
        FaultSchedule schedule = FaultSchedule.read(scheduleText);
        return Fleet.run(
                schedule,
                new Workload(
                        Launch.locate(arguments),
                        Collections.nCopies(schedule.gateways(), 5.0),
                        4500,
                        (request, server, now, started) -> {},
                        FEW_SESSIONS));
    }

    private static FleetResult playWithReplication(String scheduleText) throws Exception {
        FleetResult result = play(scheduleText, List.of("--fleet", fleetFile.toString()));
        assertThat(result.broken()).as(() -> String.join("\n", result.log())).isEmpty();
        assertThat(result.reconnectingClients().reads().getTotalCount())
                .as("succeeded reads")
                .isGreaterThan(100);
        assertThat(result.reconnectingClients().writes().getTotalCount())
                .as("succeeded writes")
                .isGreaterThan(50);
        return result;
    }

    @Test
    void noRuleIsBrokenWhenEachGatewayIsRestartedInTurn() throws Exception {
        FleetResult result = playWithReplication("""
                day seed=31 gateways=3 lasts=15000
                1000 kill n0
                1100 start n0
                6000 kill n1
                6100 start n1
                11000 kill n2
                11100 start n2
                """);
        assertThat(result.log())
                .filteredOn(l -> l.contains("caught up with all others"))
                .hasSizeGreaterThan(3);
    }

    @Test
    void noRuleIsBrokenByAPausedGatewayAOneWayCutAndHalfOfTheDatagramsLost() throws Exception {
        playWithReplication("""
                day seed=32 gateways=3 lasts=8000
                500 words n0 n1 loss:0.5
                500 words n1 n0 loss:0.5
                500 words n2 n0 loss:0.5
                1500 stop n1
                3500 go_on n1
                4000 words n2 n1 loss:1
                6000 words n2 n1 usual
                """);
    }

    @Test
    void withoutReplicationASessionReadsStaleDataAfterChangingGateways() throws Exception {
        FleetResult result = play("day seed=33 gateways=3 lasts=6000\n", List.of());
        assertThat(result.broken()).extracting(b -> b.rule()).contains(Rule.NO_STALE_READ);
    }

    private static FleetResult playOverlappingWrites(Launch launch) throws Exception {
        FaultSchedule schedule = FaultSchedule.read("""
                day seed=34 gateways=1 lasts=8000
                100 way n0 s-morning late:0.3
                """);
        ReconnectingClients.Behavior few = new ReconnectingClients.Behavior(12, 5, false);
        Workload workload = new Workload(launch, List.of(5.0), 0, (request, server, now, started) -> {}, few);
        return Fleet.run(schedule, workload.withBackground(OverlappingWrites::new));
    }

    @Test
    void aSessionReadsAllItsWritesIfTheirAcknowledgementsArriveInAnotherOrder() throws Exception {
        FleetResult result = playOverlappingWrites(Launch.locate(List.of()));
        assertThat(result.broken()).as(() -> String.join("\n", result.log())).isEmpty();
    }

    /** Checks that the overlapping writes show when the last acknowledgement replaces that of a later commit. */
    @Test
    void aSessionReadsStaleDataIfTheLastAcknowledgementCounts() throws Exception {
        Launch launch = Launch.locate(List.of());
        String original = "committedAt.merge(hash, time, Math::max)";
        try (MutationCheck mutation =
                MutationCheck.of(launch, "state/SessionWrites.java", original, "committedAt.put(hash, time)")) {
            FleetResult result = playOverlappingWrites(mutation.launch(launch));
            assertThat(result.broken()).extracting(Broken::rule).contains(Rule.NO_STALE_READ);
        }
    }
}
