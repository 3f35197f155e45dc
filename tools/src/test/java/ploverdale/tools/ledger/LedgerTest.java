package ploverdale.tools.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.tools.ledger.Ledger.Answer;
import ploverdale.tools.ledger.Ledger.Broken;
import ploverdale.tools.ledger.Ledger.RequestTraits;
import ploverdale.tools.ledger.Ledger.Rule;

/** Tests that the ledger reports each rule when it is broken, and only then. */
class LedgerTest {
    private static final RequestTraits WRITE = new RequestTraits(true, false, 0);
    private static final RequestTraits READ = new RequestTraits(false, false, 5000);
    private final Ledger ledger = new Ledger(5000);

    private void sendRequest(String request, RequestTraits kind) {
        ledger.requestSent(request, kind, "name-" + request, "0", 10_000);
    }

    private org.assertj.core.api.ListAssert<Rule> assertBroken() {
        return assertThat(ledger.close(100_000).stream().map(Broken::rule).toList());
    }

    @Test
    void aWriteRetriedAfterARejectionBreaksNoRule() {
        sendRequest("a", WRITE);
        ledger.attemptReceived("a", "r", 100);
        ledger.attemptRejected("a");
        ledger.attemptReceived("a", "p", 200);
        ledger.applied("a");
        ledger.attemptEnded("a");
        ledger.answered("a", Answer.SUCCEEDED, 300);
        assertBroken().isEmpty();
    }

    @Test
    void noAnswerTwoAnswersAndALateAnswerBreakARuleUnlessTheClientLeft() {
        sendRequest("none", READ);
        sendRequest("two", READ);
        ledger.answered("two", Answer.SUCCEEDED, 100);
        ledger.answered("two", Answer.REJECTED, 200);
        sendRequest("late", READ);
        ledger.answered("late", Answer.FAILED, 11_000);
        sendRequest("left", READ);
        ledger.clientLeft("left");
        assertBroken().containsOnly(Rule.ONE_ANSWER_IN_TIME).hasSize(3);
    }

    @Test
    void closingAConnectionWithARequestThatWasReadableOrAttemptedBreaksARule() {
        ledger.requestSent("crossed", READ, "a", "0", 1000, 9000);
        ledger.closedUnanswered("crossed", 2000);
        ledger.requestSent("lost", READ, "b", "0", 1000, 9000);
        ledger.closedUnanswered("lost", 4000);
        ledger.requestSent("attempted", READ, "c", "0", 1000, 9000);
        ledger.attemptReceived("attempted", "r", 1100);
        ledger.closedUnanswered("attempted", 1200);
        ledger.requestSent("sent to a killed gateway", READ, "d", "1", 1000, 9000);
        ledger.unavailable("1", 3000);
        ledger.closedUnanswered("sent to a killed gateway", 4000);
        ledger.requestSent("sent to a paused gateway", READ, "e", "2", 1000, 9000);
        ledger.paused("2", 900);
        ledger.availableAgain("2", 4000);
        ledger.closedUnanswered("sent to a paused gateway", 4000);
        assertBroken().containsOnly(Rule.ONE_ANSWER_IN_TIME).hasSize(3);
    }

    @Test
    void aPauseExcusesALateAnswer() {
        ledger.paused("0", 900);
        ledger.requestSent("late", READ, "a", "0", 1000, 5000);
        ledger.availableAgain("0", 6000);
        ledger.answered("late", Answer.FAILED, 6100);
        assertBroken().isEmpty();
    }

    @Test
    void anAttemptAfterTheAnswerBreaksARule() {
        sendRequest("a", READ);
        ledger.answered("a", Answer.REJECTED, 100);
        ledger.attemptReceived("a", "r", 2000);
        assertBroken().containsExactly(Rule.ONE_ANSWER_IN_TIME);
    }

    @Test
    void aRetryOfAWriteThatMayHaveRunBreaksARule() {
        sendRequest("a", WRITE);
        ledger.attemptReceived("a", "p", 100);
        ledger.attemptEnded("a");
        ledger.attemptReceived("a", "r", 200);
        ledger.answered("a", Answer.FAILED, 300);
        assertBroken().containsExactly(Rule.NO_EFFECT_TWICE);
    }

    @Test
    void aRejectionOfAWriteThatMayHaveRunBreaksARule() {
        sendRequest("a", WRITE);
        ledger.attemptReceived("a", "p", 100);
        ledger.answered("a", Answer.REJECTED, 300);
        assertBroken().containsExactly(Rule.NO_EFFECT_TWICE);
    }

    @Test
    void aSecondEffectUnderAnotherRequestIdBreaksARule() {
        ledger.requestSent("a", WRITE, "bid", "0", 10_000);
        ledger.applied("a");
        ledger.answered("a", Answer.FAILED, 100);
        ledger.requestSent("b", WRITE, "bid", "1", 10_000);
        ledger.applied("b");
        ledger.answered("b", Answer.SUCCEEDED, 200);
        assertBroken().containsExactly(Rule.NO_EFFECT_TWICE);
    }

    @Test
    void aSuccessWithoutAnEffectBreaksARule() {
        sendRequest("a", WRITE);
        ledger.answered("a", Answer.SUCCEEDED, 100);
        assertBroken().containsExactly(Rule.ONE_ANSWER_IN_TIME);
    }

    @Test
    void anAttemptAtADrainingServerAfterTheGracePeriodBreaksARule() {
        ledger.drainReported("0", "r", 1000);
        sendRequest("a", READ);
        ledger.attemptReceived("a", "r", 6400);
        ledger.answered("a", Answer.SUCCEEDED, 6500);
        assertBroken().isEmpty();
        sendRequest("b", READ);
        ledger.attemptReceived("b", "r", 6600);
        ledger.answered("b", Answer.SUCCEEDED, 6700);
        assertBroken().containsExactly(Rule.NOTHING_TO_DRAINING);
    }

    @Test
    void onlyANewerListEndsADrain() {
        ledger.outOfServiceReported("0", "r", 5, 1000);
        ledger.inServiceReported("0", "r", 3);
        sendRequest("a", READ);
        ledger.attemptReceived("a", "r", 8000);
        ledger.answered("a", Answer.SUCCEEDED, 8100);
        assertBroken().containsExactly(Rule.NOTHING_TO_DRAINING);
        ledger.inServiceReported("0", "r", 6);
        sendRequest("b", READ);
        ledger.attemptReceived("b", "r", 8200);
        ledger.answered("b", Answer.SUCCEEDED, 8300);
        assertBroken().containsExactly(Rule.NOTHING_TO_DRAINING);
    }

    @Test
    void aRequestThatCrossedACloseMayReachAServerLateOnlyFromAKilledGateway() {
        sendRequest("a", READ);
        ledger.crossedClose("a");
        ledger.attemptReceived("a", "r", 10);
        assertBroken().containsExactly(Rule.NO_EFFECT_TWICE);
        sendRequest("b", READ);
        ledger.unavailable("0", 0);
        ledger.crossedClose("b");
        ledger.attemptReceived("b", "r", 10);
        assertBroken().containsExactly(Rule.NO_EFFECT_TWICE);
    }

    @Test
    void aNewProcessKnowsOfNoDrain() {
        ledger.outOfServiceReported("0", "r", 5, 1000);
        ledger.forgetEndpointLists("0");
        sendRequest("a", READ);
        ledger.attemptReceived("a", "r", 8000);
        ledger.answered("a", Answer.SUCCEEDED, 8100);
        assertBroken().isEmpty();
    }

    @Test
    void aStaleReadAndACrashInSlowStartBreakTheirRules() {
        sendRequest("a", READ);
        ledger.readServed("a", 1000, 6600);
        ledger.answered("a", Answer.SUCCEEDED, 6700);
        ledger.serverOverloaded("r");
        assertBroken().containsExactly(Rule.NO_STALE_READ, Rule.NO_SLOW_START_OVERLOAD);
    }
}
