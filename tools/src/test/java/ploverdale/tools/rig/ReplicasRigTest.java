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
import ploverdale.tools.fleet.Workload;
import ploverdale.tools.ledger.Ledger.Rule;
import ploverdale.tools.stand.RoamingClients;

/** What processes keep together: few sessions, whose ops follow one another closely, at any gateway. */
@Timeout(120)
class ReplicasRigTest {
    private static final RoamingClients.Habit CLOSE = new RoamingClients.Habit(12, 400, true);

    private static Path file;

    @BeforeAll
    static void writes() throws Exception {
        file = ReplicasRig.file(true);
    }

    @AfterAll
    static void deletes() throws Exception {
        Files.delete(file);
    }

    private static FleetResult play(String day, List<String> more) throws Exception {
        FaultSchedule d = FaultSchedule.read(day);
        return Fleet.run(
                d,
                new Workload(
                        Launch.locate(more),
                        Collections.nCopies(d.gateways(), 5.0),
                        4500,
                        (request, server, now, comes) -> {},
                        CLOSE));
    }

    private static FleetResult kept(String day) throws Exception {
        FleetResult s = play(day, List.of("--fleet", file.toString()));
        assertThat(s.broken()).as(() -> String.join("\n", s.log())).isEmpty();
        assertThat(s.reconnectingClients().reads().getTotalCount())
                .as("reads acked")
                .isGreaterThan(100);
        assertThat(s.reconnectingClients().writes().getTotalCount())
                .as("writes acked")
                .isGreaterThan(50);
        return s;
    }

    @Test
    void eachKeeperInTurnIsKilledAndBackBeforeTheNextGoesAndNoPromiseBreaks() throws Exception {
        FleetResult s = kept("""
                day seed=31 gateways=3 lasts=15000
                1000 kill n0
                1100 start n0
                6000 kill n1
                6100 start n1
                11000 kill n2
                11100 start n2
                """);
        assertThat(s.log())
                .filteredOn(l -> l.contains("caught up with all others"))
                .hasSizeGreaterThan(3);
    }

    @Test
    void oneThatStoodStillOneCutOneWayAndHalfOfAllDatagramsLostBreakNoPromise() throws Exception {
        kept("""
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
    void withoutWhatIsKeptASessionThatRoamsReadsFromBeforeItsAckedWrite() throws Exception {
        FleetResult s = play("day seed=33 gateways=3 lasts=6000\n", List.of());
        assertThat(s.broken()).extracting(b -> b.rule()).contains(Rule.NO_STALE_READ);
    }
}
