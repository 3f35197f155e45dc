package ploverdale.tools.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import ploverdale.tools.model.GroupModel.Completion;
import ploverdale.tools.model.GroupModel.Disposition;
import ploverdale.tools.model.GroupModel.Execution;
import ploverdale.tools.model.ServerModel.Fault;

/** Tests elections, restarts, drains and slow start of a modelled group. Times are in ticks (a tenth of a millisecond). */
class GroupModelTest {
    private static final GroupParameters PARAMETERS =
            new GroupParameters(50, 3000, 5000, 2000, 4, 100, 0.25, 40_000, 2.5, 10_000, 20_000, 4);
    private final List<String> changes = new ArrayList<>();
    private final GroupModel group = new GroupModel(
            PARAMETERS,
            new SplittableRandom(1),
            List.of("p", "r1", "r2"),
            100_000,
            (now, what) -> changes.add(now + " " + what));

    private Execution write(long now, String server, String token) {
        return group.arrive(now, server, "op" + now, true, token);
    }

    @Test
    void onlyThePrimaryAcceptsWritesAndReplicasLagByTheReplicationDelay() {
        assertThat(write(101_000, "r1", null).disposition()).isEqualTo(Disposition.NOT_PRIMARY);
        assertThat(write(101_000, "p", null).disposition()).isEqualTo(Disposition.ACCEPTED);
        assertThat(group.position(102_000, "p")).isEqualTo(102_000);
        assertThat(group.position(102_000, "r1")).isEqualTo(101_950);
    }

    @Test
    void aReplicaTakesOverFromASilentPrimaryWhichReturnsAsAReplicaInSlowStart() {
        group.fault(110_000, "p", Fault.SILENT);
        assertThat(write(112_000, "p", null).disposition()).isEqualTo(Disposition.UNRESPONSIVE);
        assertThat(write(117_999, "r1", null).disposition()).isEqualTo(Disposition.NOT_PRIMARY);
        assertThat(group.position(117_999, "r1"))
                .isLessThanOrEqualTo(110_000); // nothing is committed without a primary
        assertThat(group.primary(118_000)).isIn("r1", "r2");
        group.heal(120_000, "p", true);
        assertThat(group.primary(121_000)).isNotEqualTo("p");
        assertThat(write(121_000, "p", null).disposition()).isEqualTo(Disposition.NOT_PRIMARY);
        assertThat(group.server("p").capacityShare(120_000, PARAMETERS)).isEqualTo(0.25);
        assertThat(group.server("p").capacityShare(160_000, PARAMETERS)).isEqualTo(1);
        assertThat(group.position(121_000, "p")).isLessThan(120_900);
        assertThat(group.position(140_000, "p")).isEqualTo(139_950); // the replica has caught up
    }

    @Test
    void aPrimaryThatRecoversBeforeTheElectionStaysPrimary() {
        group.fault(110_000, "p", Fault.SILENT);
        group.heal(112_000, "p", false);
        assertThat(group.primary(130_000)).isEqualTo("p");
        assertThat(write(130_000, "p", null).disposition()).isEqualTo(Disposition.ACCEPTED);
    }

    @Test
    void aWriteInFlightWhenThePrimaryGoesSilentMayHaveRunButIsNotAnswered() {
        int ran = 0;
        for (int seed = 0; seed < 40; seed++) {
            GroupModel seeded = new GroupModel(
                    PARAMETERS, new SplittableRandom(seed), List.of("p", "r"), 100_000, (now, what) -> {});
            Execution execution = seeded.arrive(110_000, "p", "op", true, null);
            seeded.fault(110_001, "p", Fault.SILENT);
            Completion completion = seeded.complete(Math.max(execution.doneAt(), 110_002), execution);
            assertThat(completion.answered()).isFalse();
            ran += completion.applied() ? 1 : 0;
        }
        assertThat(ran).isBetween(8, 32);
    }

    @Test
    void aDrainingPrimaryHandsOver() {
        group.drain(110_000, "p");
        assertThat(write(111_000, "p", null).disposition()).isEqualTo(Disposition.NOT_PRIMARY);
        assertThat(group.primary(112_000)).isIn("r1", "r2");
        assertThat(changes).first().isEqualTo("110000 p drains");
    }

    @Test
    void aRepeatedTokenIsAnsweredWithoutASecondEffectWithinItsWindow() {
        Execution first = write(110_000, "p", "t");
        assertThat(group.complete(first.doneAt(), first).applied()).isTrue();
        Execution repeat = write(115_000, "p", "t");
        assertThat(group.complete(repeat.doneAt(), repeat))
                .extracting(Completion::applied, Completion::answered)
                .containsExactly(false, true);
        Execution late = write(140_000, "p", "t");
        assertThat(group.complete(late.doneAt(), late).applied()).isTrue();
    }

    @Test
    void aServerInSlowStartCrashesUnderTooManyRequests() {
        group.fault(110_000, "r1", Fault.REFUSING);
        group.heal(111_000, "r1", true);
        boolean overloaded = false;
        int arrivals = 0;
        while (!overloaded && arrivals < 2000) { // the limit: 2.5 times a quarter of 400 requests in one second
            overloaded = group.arrive(111_000 + arrivals++, "r1", "op" + arrivals, false, null)
                    .overloaded();
        }
        assertThat(arrivals).isBetween(240, 300);
        assertThat(group.arrive(130_000, "r1", "later", false, null).disposition())
                .isEqualTo(Disposition.CONNECTION_REFUSED);
    }

    @Test
    void aSlowServerTakesLongerAndRejectsWhenItsQueueIsFull() {
        group.fault(110_000, "r1", Fault.SLOW);
        long slow = 0;
        long normal = 0;
        Disposition lastOnSlow = Disposition.ACCEPTED;
        for (int i = 0; i < 400; i++) {
            Execution onSlow = group.arrive(110_000 + i * 40, "r1", "a" + i, false, null);
            Execution onNormal = group.arrive(110_000 + i * 40, "r2", "b" + i, false, null);
            lastOnSlow = onSlow.disposition();
            slow += i < 8 ? onSlow.doneAt() - onSlow.arrivedAt() : 0;
            normal += i < 8 ? onNormal.doneAt() - onNormal.arrivedAt() : 0;
        }
        assertThat(slow).isGreaterThan(4 * normal);
        assertThat(lastOnSlow).isEqualTo(Disposition.QUEUE_FULL);
    }
}
