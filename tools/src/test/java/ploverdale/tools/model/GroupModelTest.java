package ploverdale.tools.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import ploverdale.tools.model.GroupModel.Done;
import ploverdale.tools.model.GroupModel.Taking;
import ploverdale.tools.model.GroupModel.Work;
import ploverdale.tools.model.ServerModel.Fault;

/** A group through elections, restarts and drains; times in tenths of a ms. */
class GroupModelTest {
    private static final Plan PLAN = new Plan(50, 3000, 5000, 2000, 4, 100, 0.25, 40_000, 2.5, 10_000, 20_000, 4);
    private final List<String> changes = new ArrayList<>();
    private final GroupModel group = new GroupModel(
            PLAN,
            new SplittableRandom(1),
            List.of("p", "r1", "r2"),
            100_000,
            (now, what) -> changes.add(now + " " + what));

    private Work write(long now, String server, String token) {
        return group.comes(now, server, "op" + now, true, token);
    }

    @Test
    void onlyThePrimaryTakesWritesAndReplicasFollowALittleBehind() {
        assertThat(write(101_000, "r1", null).taking()).isEqualTo(Taking.TURNS_AWAY);
        assertThat(write(101_000, "p", null).taking()).isEqualTo(Taking.WORKS);
        assertThat(group.position(102_000, "p")).isEqualTo(102_000);
        assertThat(group.position(102_000, "r1")).isEqualTo(101_950);
    }

    @Test
    void afterASilentPrimaryAReplicaLeadsAndTheOldOneFollowsCold() {
        group.fault(110_000, "p", Fault.SILENT);
        assertThat(write(112_000, "p", null).taking()).isEqualTo(Taking.NOTHING);
        assertThat(write(117_999, "r1", null).taking()).isEqualTo(Taking.TURNS_AWAY);
        assertThat(group.position(117_999, "r1")).isLessThanOrEqualTo(110_000); // nothing is committed meanwhile
        assertThat(group.primary(118_000)).isIn("r1", "r2");
        group.heals(120_000, "p", true);
        assertThat(group.primary(121_000)).isNotEqualTo("p");
        assertThat(write(121_000, "p", null).taking()).isEqualTo(Taking.TURNS_AWAY);
        assertThat(group.server("p").warmth(120_000, PLAN)).isEqualTo(0.25);
        assertThat(group.server("p").warmth(160_000, PLAN)).isEqualTo(1);
        assertThat(group.position(121_000, "p")).isLessThan(120_900);
        assertThat(group.position(140_000, "p")).isEqualTo(139_950); // it has caught up
    }

    @Test
    void aPrimaryThatIsBackInTimeLeadsOn() {
        group.fault(110_000, "p", Fault.SILENT);
        group.heals(112_000, "p", false);
        assertThat(group.primary(130_000)).isEqualTo("p");
        assertThat(write(130_000, "p", null).taking()).isEqualTo(Taking.WORKS);
    }

    @Test
    void aWriteInHandWhenThePrimaryGoesSilentMayHaveRunButIsNotAnswered() {
        int ran = 0;
        for (int seed = 0; seed < 40; seed++) {
            GroupModel g =
                    new GroupModel(PLAN, new SplittableRandom(seed), List.of("p", "r"), 100_000, (now, what) -> {});
            Work w = g.comes(110_000, "p", "op", true, null);
            g.fault(110_001, "p", Fault.SILENT);
            Done d = g.ends(Math.max(w.doneAt(), 110_002), w);
            assertThat(d.answered()).isFalse();
            ran += d.applied() ? 1 : 0;
        }
        assertThat(ran).isBetween(8, 32);
    }

    @Test
    void aDrainingPrimaryHandsOver() {
        group.drains(110_000, "p");
        assertThat(write(111_000, "p", null).taking()).isEqualTo(Taking.TURNS_AWAY);
        assertThat(group.primary(112_000)).isIn("r1", "r2");
        assertThat(changes).first().isEqualTo("110000 p drains");
    }

    @Test
    void aTokenWithinItsWindowHasItsEffectOnce() {
        Work first = write(110_000, "p", "t");
        assertThat(group.ends(first.doneAt(), first).applied()).isTrue();
        Work again = write(115_000, "p", "t");
        assertThat(group.ends(again.doneAt(), again))
                .extracting(Done::applied, Done::answered)
                .containsExactly(false, true);
        Work late = write(140_000, "p", "t");
        assertThat(group.ends(late.doneAt(), late).applied()).isTrue();
    }

    @Test
    void aColdServerThatIsSentTooMuchFalls() {
        group.fault(110_000, "r1", Fault.REFUSING);
        group.heals(111_000, "r1", true);
        boolean over = false;
        int sent = 0;
        while (!over && sent < 2000) { // a quarter of 400 ops a second, 2.5 times of it for a second
            over = group.comes(111_000 + sent++, "r1", "op" + sent, false, null).pushedOver();
        }
        assertThat(sent).isBetween(240, 300);
        assertThat(group.comes(130_000, "r1", "later", false, null).taking()).isEqualTo(Taking.REFUSES);
    }

    @Test
    void aSlowOneTakesLongerAndAFullOneTakesNoMore() {
        group.fault(110_000, "r1", Fault.SLOW);
        long slow = 0;
        long usual = 0;
        Taking last = Taking.WORKS;
        for (int i = 0; i < 400; i++) {
            Work a = group.comes(110_000 + i * 40, "r1", "a" + i, false, null);
            Work b = group.comes(110_000 + i * 40, "r2", "b" + i, false, null);
            last = a.taking();
            slow += i < 8 ? a.doneAt() - a.cameAt() : 0;
            usual += i < 8 ? b.doneAt() - b.cameAt() : 0;
        }
        assertThat(slow).isGreaterThan(4 * usual);
        assertThat(last).isEqualTo(Taking.FULL);
    }
}
