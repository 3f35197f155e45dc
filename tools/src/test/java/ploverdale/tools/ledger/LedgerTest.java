package ploverdale.tools.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.tools.ledger.Ledger.Answer;
import ploverdale.tools.ledger.Ledger.Broken;
import ploverdale.tools.ledger.Ledger.Kind;
import ploverdale.tools.ledger.Ledger.Rule;

/** Each rule is seen to be broken when it is, and not when it is not. */
class LedgerTest {
    private static final Kind WRITE = new Kind(true, false, 0);
    private static final Kind READ = new Kind(false, false, 5000);
    private final Ledger ledger = new Ledger(5000);

    private void taken(String request, Kind kind) {
        ledger.taken(request, kind, "name-" + request, "0", 10_000);
    }

    private org.assertj.core.api.ListAssert<Rule> broken() {
        return assertThat(ledger.close(100_000).stream().map(Broken::rule).toList());
    }

    @Test
    void aWriteThatGoesWellBreaksNothing() {
        taken("a", WRITE);
        ledger.sent("a", "r", 100);
        ledger.proved("a");
        ledger.sent("a", "p", 200);
        ledger.applied("a");
        ledger.over("a");
        ledger.answered("a", Answer.ACKED, 300);
        broken().isEmpty();
    }

    @Test
    void noAnswerTwoAnswersAndALateOne() {
        taken("none", READ);
        taken("two", READ);
        ledger.answered("two", Answer.ACKED, 100);
        ledger.answered("two", Answer.BUSY, 200);
        taken("late", READ);
        ledger.answered("late", Answer.ERRORED, 11_000);
        taken("left", READ);
        ledger.left("left");
        broken().containsOnly(Rule.ONE_ANSWER_IN_TIME).hasSize(3);
    }

    @Test
    void aConnectionThatEndsUnderAnOpThatCouldHaveBeenReadOrWasSentOn() {
        ledger.taken("crossed", READ, "a", "0", 1000, 9000);
        ledger.endedUnanswered("crossed", 2000);
        ledger.taken("lost", READ, "b", "0", 1000, 9000);
        ledger.endedUnanswered("lost", 4000);
        ledger.taken("sent on", READ, "c", "0", 1000, 9000);
        ledger.sent("sent on", "r", 1100);
        ledger.endedUnanswered("sent on", 1200);
        ledger.taken("of one that was killed", READ, "d", "1", 1000, 9000);
        ledger.excused("1", 3000);
        ledger.endedUnanswered("of one that was killed", 4000);
        ledger.taken("of one that was paused", READ, "e", "2", 1000, 9000);
        ledger.paused("2", 900);
        ledger.answersAgain("2", 4000);
        ledger.endedUnanswered("of one that was paused", 4000);
        broken().containsOnly(Rule.ONE_ANSWER_IN_TIME).hasSize(3);
    }

    @Test
    void aPauseExcusesALateAnswer() {
        ledger.paused("0", 900);
        ledger.taken("late", READ, "a", "0", 1000, 5000);
        ledger.answersAgain("0", 6000);
        ledger.answered("late", Answer.ERRORED, 6100);
        broken().isEmpty();
    }

    @Test
    void aSendAfterTheAnswer() {
        taken("a", READ);
        ledger.answered("a", Answer.BUSY, 100);
        ledger.sent("a", "r", 2000);
        broken().containsExactly(Rule.ONE_ANSWER_IN_TIME);
    }

    @Test
    void aWriteSentAgainThatMayHaveRun() {
        taken("a", WRITE);
        ledger.sent("a", "p", 100);
        ledger.over("a");
        ledger.sent("a", "r", 200);
        ledger.answered("a", Answer.ERRORED, 300);
        broken().containsExactly(Rule.NO_EFFECT_TWICE);
    }

    @Test
    void aBusyReplyForAWriteThatMayHaveRun() {
        taken("a", WRITE);
        ledger.sent("a", "p", 100);
        ledger.answered("a", Answer.BUSY, 300);
        broken().containsExactly(Rule.NO_EFFECT_TWICE);
    }

    @Test
    void anEffectTwiceAlsoUnderTheClientsNextId() {
        ledger.taken("a", WRITE, "bid", "0", 10_000);
        ledger.applied("a");
        ledger.answered("a", Answer.ERRORED, 100);
        ledger.taken("b", WRITE, "bid", "1", 10_000);
        ledger.applied("b");
        ledger.answered("b", Answer.ACKED, 200);
        broken().containsExactly(Rule.NO_EFFECT_TWICE);
    }

    @Test
    void anAckWithoutAnEffect() {
        taken("a", WRITE);
        ledger.answered("a", Answer.ACKED, 100);
        broken().containsExactly(Rule.ONE_ANSWER_IN_TIME);
    }

    @Test
    void aDrainingServerPastTheGrace() {
        ledger.toldOfDrain("0", "r", 1000);
        taken("a", READ);
        ledger.sent("a", "r", 6400);
        ledger.answered("a", Answer.ACKED, 6500);
        broken().isEmpty();
        taken("b", READ);
        ledger.sent("b", "r", 6600);
        ledger.answered("b", Answer.ACKED, 6700);
        broken().containsExactly(Rule.NOTHING_TO_DRAINING);
    }

    @Test
    void anOlderListEndsNoDrainAndANewerOneDoes() {
        ledger.toldOutOfService("0", "r", 5, 1000);
        ledger.toldInService("0", "r", 3);
        taken("a", READ);
        ledger.sent("a", "r", 8000);
        ledger.answered("a", Answer.ACKED, 8100);
        broken().containsExactly(Rule.NOTHING_TO_DRAINING);
        ledger.toldInService("0", "r", 6);
        taken("b", READ);
        ledger.sent("b", "r", 8200);
        ledger.answered("b", Answer.ACKED, 8300);
        broken().containsExactly(Rule.NOTHING_TO_DRAINING);
    }

    @Test
    void aRequestThatCrossedAnEndMayArriveLateOnlyFromAKilledGateway() {
        taken("a", READ);
        ledger.crossed("a");
        ledger.sent("a", "r", 10);
        broken().containsExactly(Rule.NO_EFFECT_TWICE);
        taken("b", READ);
        ledger.excused("0", 0);
        ledger.crossed("b");
        ledger.sent("b", "r", 10);
        broken().containsExactly(Rule.NO_EFFECT_TWICE);
    }

    @Test
    void aNewProcessHasBeenToldOfNoDrain() {
        ledger.toldOutOfService("0", "r", 5, 1000);
        ledger.forgetsLists("0");
        taken("a", READ);
        ledger.sent("a", "r", 8000);
        ledger.answered("a", Answer.ACKED, 8100);
        broken().isEmpty();
    }

    @Test
    void aReadFromDataTooOldAndAColdServerPushedOver() {
        taken("a", READ);
        ledger.read("a", 1000, 6600);
        ledger.answered("a", Answer.ACKED, 6700);
        ledger.fell("r");
        broken().containsExactly(Rule.NO_STALE_READ, Rule.NO_COLD_PUSHED_OVER);
    }
}
