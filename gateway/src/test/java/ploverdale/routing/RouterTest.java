package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import ploverdale.model.Action;
import ploverdale.model.Endpoint.EndpointState;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;

/** Stories of single failures, each against the fake host. */
class RouterTest {
    private final RouterDriver host = RouterDriver.settled();

    private static LoadReport note(Role role, long positionMs) {
        return new LoadReport(role, positionMs * 10);
    }

    @Test
    void levelReplicasTakeBoundedReadsAndThePrimaryTakesWrites() {
        assertThat(host.sends(host.ask(RouterDriver.VIEW)))
                .isSubsetOf("r1", "r2")
                .hasSize(1);
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).containsExactly("p");
    }

    @Test
    void aNewGatewayProbesAtOnceAndHoldsABoundedReadUntilAPositionIsKnown() {
        RouterDriver fresh = new RouterDriver();
        fresh.list(true, "r1");
        assertThat(fresh.probes("r1")).isEqualTo(1);
        RequestId read = fresh.ask(RouterDriver.VIEW);
        assertThat(fresh.sends(read)).isEmpty();
        fresh.probed("r1", Role.REPLICA, fresh.nowMs - 100);
        assertThat(fresh.sends(read)).containsExactly("r1");
    }

    @Test
    void aGroupNotAskedForCostsNoProbesAndAReadThereAsksOneMemberAndThenTheNext() {
        host.pass(5000);
        long before = host.probes("r1") + host.probes("r2");
        host.pass(5000);
        assertThat(host.probes("r1") + host.probes("r2")).isEqualTo(before);
        RequestId read = host.ask(RouterDriver.VIEW);
        assertThat(host.probes("p") + host.probes("r1") + host.probes("r2")).isEqualTo(before + 1 + 1);
        assertThat(host.sends(read)).isEmpty();
        host.pass(100);
        host.probed("r1", Role.REPLICA, host.nowMs - 100);
        assertThat(host.sends(read)).containsExactly("r1");
    }

    @Test
    void whereNobodyAnswersTheFirstProbesAllAreAskedAgainSoonAndAGhostAmongLiveServersIsNot() {
        RouterDriver fresh = new RouterDriver();
        fresh.list(true, "p", "r1");
        fresh.unanswered("p");
        fresh.unanswered("r1");
        RequestId write = fresh.ask(RouterDriver.SUBMIT);
        fresh.pass(1000);
        assertThat(fresh.probes("p") + fresh.probes("r1")).isGreaterThan(2);
        fresh.probed("p", Role.PRIMARY, fresh.nowMs);
        assertThat(fresh.sends(write)).containsExactly("p");
        fresh.list(false, "ghost");
        fresh.unanswered("ghost");
        fresh.pass(7000);
        assertThat(fresh.probes("ghost")).isEqualTo(1);
    }

    @Test
    void aServerThatIsListedButNeverHeardGetsNoOp() {
        host.list(false, "ghost");
        for (int i = 0; i < 5; i++) {
            assertThat(host.sends(host.ask(RouterDriver.HISTORY)))
                    .isSubsetOf("r1", "r2")
                    .hasSize(1);
        }
    }

    @Test
    void aFullProbeTableIsASignOfLifeAndNoDeadOne() {
        host.nowMs += 3000;
        for (int i = 0; i < 3; i++) {
            host.tell(new Event.HealthCheckEnded(new ServerId("r1"), Outcome.REJECTED, null));
        }
        assertThat(host.logged("silent")).isFalse();
        assertThat(host.sends(host.ask(RouterDriver.HISTORY))).containsExactly("r1");
    }

    @Test
    void opsThatArriveAsALookRoundFallsDueDoNotPutItOff() {
        host.ends(host.ask(RouterDriver.SUBMIT), 0, "p", Outcome.MISDIRECTED, null);
        RequestId write = host.ask(RouterDriver.SUBMIT);
        List<Long> wakes = new ArrayList<>();
        for (int i = 0; i < 600 && host.busyReplies(write) == 0; i++) {
            host.nowMs += 5;
            host.acts.stream()
                    .filter(Action.SetTimer.class::isInstance)
                    .forEach(a -> wakes.add(((Action.SetTimer) a).at()));
            host.acts.removeIf(Action.SetTimer.class::isInstance);
            host.ask(RouterDriver.SUBMIT);
            if (wakes.removeIf(at -> at <= host.nowMs * 10 - 10)) {
                host.tell(new Event.TimerFired(0));
            }
        }
        assertThat(host.busyReplies(write)).isEqualTo(1);
    }

    @Test
    void atTheLastMomentOfAPlannedRestartEachOpInHandIsAnsweredOnceByWhatIsProven() {
        RequestId read = host.ask(RouterDriver.VIEW);
        RequestId write = host.ask(RouterDriver.SUBMIT);
        host.tell(new Event.AttemptEnded(
                host.ask(RouterDriver.SUBMIT),
                0,
                new ServerId("p"),
                Outcome.MISDIRECTED,
                10,
                false,
                note(Role.REPLICA, host.nowMs),
                null));
        RequestId held = host.ask(RouterDriver.SUBMIT);
        assertThat(host.sends(held)).isEmpty();
        host.tell(new Event.ShutdownDeadline());
        assertThat(host.busyReplies(read)).isEqualTo(1); // may be repeated
        assertThat(host.errorReplies(write)).isEqualTo(1); // may have run
        assertThat(host.busyReplies(held)).isEqualTo(1); // was never sent
        assertThat(host.calledOff(write)).isTrue();
        host.ends(write, 0, "p", Outcome.CANCELLED, null);
        host.pass(3000);
        assertThat(host.sends(write)).hasSize(1);
        assertThat(host.busyReplies(write) + host.errorReplies(write)).isEqualTo(1);
    }

    @Test
    void aReplicaBeyondTheBoundLosesBoundedReadsButKeepsUnboundedOnes() {
        host.nowMs += 400;
        host.probed("r1", Role.REPLICA, host.nowMs);
        host.nowMs += 150;
        for (int i = 0; i < 5; i++) {
            assertThat(host.sends(host.ask(RouterDriver.VIEW))).containsExactly("r1");
        }
        assertThat(host.sends(host.ask(RouterDriver.HISTORY))).containsExactly("r2");
    }

    @Test
    void withNoReplicaAdmittedThePrimaryTakesReadsUntilItsGateShutsThenABusyReplyComesAtOnce() {
        host.lagging(1100);
        assertThat(host.sends(host.ask(RouterDriver.VIEW))).containsExactly("p");
        RequestId refused = null;
        for (int i = 0; i < 30; i++) {
            refused = host.ask(RouterDriver.VIEW);
        }
        RequestId last = refused;
        assertThat(host.sends(last)).isEmpty();
        assertThat(host.busyReplies(last)).isEqualTo(1);
        assertThat(host.acts)
                .filteredOn(
                        a -> a instanceof Action.RejectRequest b && b.request().equals(last))
                .allMatch(a -> ((Action.RejectRequest) a).retryAfter() < 5000, "a second try is still in time");
    }

    @Test
    void whileTheAdmittedReplicasAreFullThePrimaryNearItsUsualTakesTheRead() {
        int atPrimary = 0;
        for (int i = 0; i < 60; i++) {
            atPrimary += host.sends(host.ask(RouterDriver.VIEW)).contains("p") ? 1 : 0;
        }
        assertThat(atPrimary).isBetween(1, 24);
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).containsExactly("p");
    }

    @Test
    void writesMayFillThePrimaryBeyondWhatReadsMay() {
        for (int i = 0; i < 40; i++) {
            assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).containsExactly("p");
        }
    }

    @Test
    void whereReplicasCheckReadsASlightlyLaggingOneGoesFirstButNotAfterItTurnedOneAway() {
        RouterDriver checked = new RouterDriver(ReplicaGuarantees.StalenessCheck.WAITS, false, true, 1);
        checked.list(true, "p", "r1");
        checked.levelled("p", "r1");
        checked.nowMs += 560;
        RequestId read = checked.ask(RouterDriver.VIEW);
        checked.nowMs += 50;
        checked.ends(read, 0, "r1", Outcome.MISDIRECTED, note(Role.REPLICA, checked.nowMs - 700));
        assertThat(checked.sends(read)).startsWith("r1");
        assertThat(checked.sends(checked.ask(RouterDriver.VIEW))).containsExactly("p");
    }

    @Test
    void whereReportsAreOldButReplicasCheckReadsOneReadASecondAsksAReplicaInsteadOfARefusal() {
        RouterDriver checked = new RouterDriver(ReplicaGuarantees.StalenessCheck.WAITS, false, true, 1);
        checked.list(true, "r1");
        checked.probed("r1", Role.REPLICA, checked.nowMs - 5200);
        RequestId guess = checked.ask(RouterDriver.VIEW);
        assertThat(checked.sends(guess)).containsExactly("r1");
        assertThat(checked.busyReplies(checked.ask(RouterDriver.VIEW))).isEqualTo(1);
        checked.nowMs += 50;
        checked.ends(guess, 0, "r1", Outcome.SUCCEEDED, note(Role.REPLICA, checked.nowMs - 10));
        assertThat(checked.sends(checked.ask(RouterDriver.VIEW))).containsExactly("r1");
    }

    @Test
    void refusedConnectsInARowAtAServerThatAnswersProbesMakeIdleConnectionsBeGivenUp() {
        RequestId write = host.ask(RouterDriver.SUBMIT);
        for (int send = 0; send < 2; send++) {
            assertThat(host.acts).noneMatch(Action.CloseIdleConnections.class::isInstance);
            host.tell(new Event.AttemptEnded(
                    write, send, new ServerId("p"), Outcome.CONNECT_FAILED, 10, false, null, null));
            assertThat(host.probes("p")).isEqualTo(2 + send);
            host.probed("p", Role.PRIMARY, host.nowMs);
        }
        host.ends(write, 2, "p", Outcome.SUCCEEDED, null);
        assertThat(host.acts).contains(new Action.CloseIdleConnections(new ServerId("p")));
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"CONNECT_INTERRUPTED", "CONNECT_FAILED", "CONNECTION_LOST"})
    void resetsByChanceNeitherCutAServersLimitNorLeaveItOut(Outcome outcome) {
        for (int i = 0; i < 60; i++) { // one op in eight at every server, as on a bad network
            for (int j = 0; j < 8; j++) {
                RequestId read = host.ask(RouterDriver.HISTORY);
                if (j == 0) {
                    host.tell(new Event.AttemptEnded(
                            read, 0, new ServerId(host.sends(read).get(0)), outcome, 100, false, null, null));
                }
                int last = host.sends(read).size() - 1;
                host.ends(read, last, host.sends(read).get(last), Outcome.SUCCEEDED, note(Role.REPLICA, host.nowMs));
                host.pass(100);
                host.levelled("p", "r1", "r2");
            }
        }
        List<RequestId> many = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            many.add(host.ask(RouterDriver.HISTORY));
        }
        assertThat(many).allMatch(request -> host.sends(request).size() == 1);
        assertThat(host.logged("silent")).isFalse();
        assertThat(host.acts).noneMatch(Action.CloseIdleConnections.class::isInstance);
    }

    @Test
    void aSlowFailedConnectGivesUpNoIdleConnection() {
        RequestId read = host.ask(RouterDriver.VIEW);
        String server = host.sends(read).get(0);
        host.tell(
                new Event.AttemptEnded(read, 0, new ServerId(server), Outcome.CONNECT_FAILED, 2500, false, null, null));
        host.probed(server, Role.REPLICA, host.nowMs);
        host.ends(host.ask(RouterDriver.SUBMIT), 0, "p", Outcome.SUCCEEDED, null);
        assertThat(host.acts).noneMatch(Action.CloseIdleConnections.class::isInstance);
    }

    @Test
    void whereAnswersGetLostWhileOthersComeInTimeASendIsMadeAgainBeforeItsOpIsWorthless() {
        for (int i = 0; i < 40; i++) {
            RequestId request = host.ask(RouterDriver.SUBMIT);
            host.ends(request, 0, "p", i % 4 == 0 ? Outcome.TIMED_OUT : Outcome.SUCCEEDED, null);
        }
        RequestId read = host.ask(RouterDriver.FRESH);
        assertThat(host.acts)
                .anyMatch(a -> a instanceof Action.StartAttempt s && s.request().equals(read) && s.timeLimit() < 3500);
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT)))
                .as("and its limit is kept")
                .containsExactly("p");
    }

    @Test
    void aBusyServersReadsThinOutWhereOwnAnswersAreOld() {
        RouterDriver small = new RouterDriver(ReplicaGuarantees.StalenessCheck.NONE, false, true, 100);
        small.list(true, "r1");
        small.tell(new Event.HealthCheckEnded(
                new ServerId("r1"), Outcome.SUCCEEDED, new LoadReport(Role.REPLICA, small.nowMs * 10, 1.1)));
        assertThat(small.sends(small.ask(RouterDriver.HISTORY))).isEmpty();
        small.nowMs += 200;
        small.tell(new Event.HealthCheckEnded(
                new ServerId("r1"), Outcome.SUCCEEDED, new LoadReport(Role.REPLICA, small.nowMs * 10, 0.5)));
        assertThat(small.sends(small.ask(RouterDriver.HISTORY))).containsExactly("r1");
    }

    @Test
    void aColdServerGetsPartsOfAnOpFromManySmallGatewaysAndNotAWholeOneFromEach() {
        int cold = 0;
        for (int i = 0; i < 100; i++) {
            RouterDriver small = new RouterDriver(ReplicaGuarantees.StalenessCheck.NONE, false, true, 100 + i);
            small.list(true, "r1", "r2");
            small.levelled("r1", "r2");
            small.ends(small.ask(RouterDriver.HISTORY), 0, "r2", Outcome.SUCCEEDED, null);
            small.listed("r1", EndpointState.IN, small.nowMs);
            for (int s = 0; s < 4; s++) {
                RequestId read = small.ask(RouterDriver.HISTORY);
                cold += small.sends(read).contains("r1") ? 1 : 0;
                small.nowMs += 250;
            }
        }
        assertThat(cold).isBetween(1, 50);
    }

    @Test
    void whereNobodyElseOfAGroupIsLeftASilentMemberIsAskedWithoutWaitingForItsNextTry() {
        RouterDriver cut = new RouterDriver();
        cut.list(true, "r1");
        cut.levelled("r1");
        cut.nowMs += 3000;
        for (int i = 0; i < 6; i++) {
            cut.unanswered("r1");
        }
        cut.nowMs += 200;
        long before = cut.probes("r1");
        cut.ask(RouterDriver.HISTORY);
        assertThat(cut.probes("r1")).isEqualTo(before + 1);
    }

    @Test
    void whatMakesNoSenseChangesNothing() {
        int before = host.acts.size();
        host.tell(new Event.GossipReceived(3, new byte[] {104, 105}));
        host.tell(new Event.HealthCheckEnded(
                new ServerId("stranger"), Outcome.SUCCEEDED, note(Role.PRIMARY, host.nowMs)));
        host.ends(new RequestId("none"), 0, "stranger", Outcome.SUCCEEDED, null);
        host.tell(new Event.ClientDisconnected(new RequestId("none")));
        assertThat(host.acts).hasSize(before);
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).containsExactly("p");
    }

    @Test
    void anEmptyListTakesNoServerAwayWhereRemovalDoesNotBind() {
        RouterDriver loose = new RouterDriver(ReplicaGuarantees.StalenessCheck.NONE, false, false, 1);
        loose.list(true, "p", "r1");
        loose.levelled("p", "r1");
        loose.list(true);
        assertThat(loose.sends(loose.ask(RouterDriver.VIEW))).containsExactly("r1");
        assertThat(loose.sends(loose.ask(RouterDriver.SUBMIT))).containsExactly("p");
    }

    @Test
    void aWriteTurnedAwayMarksThatMemberNotPrimaryAndWaitsForProbes() {
        RequestId write = host.ask(RouterDriver.SUBMIT);
        host.ends(write, 0, "p", Outcome.MISDIRECTED, null);
        assertThat(host.sends(write)).hasSize(1);
        host.nowMs += 400;
        host.probed("r2", Role.PRIMARY, host.nowMs);
        assertThat(host.sends(write)).containsExactly("p", "r2");
    }

    @Test
    void aPrimaryThatHandsOverIsNotBelievedRightAfterItTurnedAWriteAway() {
        RequestId read = host.ask(RouterDriver.FRESH);
        RequestId write = host.ask(RouterDriver.SUBMIT);
        host.ends(write, 0, "p", Outcome.MISDIRECTED, null);
        host.nowMs += 20;
        host.ends(read, 0, "p", Outcome.SUCCEEDED, note(Role.PRIMARY, host.nowMs)); // as it still calls itself
        assertThat(host.sends(write)).containsExactly("p");
        host.nowMs += 150;
        host.probed("p", Role.PRIMARY, host.nowMs);
        assertThat(host.sends(write)).containsExactly("p", "p");
    }

    @Test
    void anOldReportDoesNotBringBackAStalePrimary() {
        host.ends(host.ask(RouterDriver.SUBMIT), 0, "p", Outcome.MISDIRECTED, null);
        host.nowMs += 100;
        host.probed("p", Role.PRIMARY, host.nowMs - 200);
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).isEmpty();
    }

    @Test
    void aHungServerThatOnlyAnswersProbesIsTriedWithOneOpAtATime() {
        for (int i = 0; i < 30; i++) {
            host.ask(RouterDriver.HISTORY);
        }
        host.pass(900);
        host.levelled("p", "r1", "r2");
        assertThat(host.logged("server r1 returns: answers probes")).isTrue();
        assertThat(host.logged("server r1 returns: answers after")).isFalse();
    }

    @Test
    void readsLongerThanTheTightestBoundStayOnTheFirstReplicaByIdAtEveryGateway() {
        for (int i = 0; i < 25; i++) {
            RequestId scan = host.ask(RouterDriver.SCAN);
            host.nowMs += 100;
            host.tell(new Event.AttemptEnded(
                    scan, 0, new ServerId(host.sends(scan).get(0)), Outcome.SUCCEEDED, 9000, true, null, null));
        }
        host.levelled("p", "r1", "r2");
        assertThat(host.sends(host.ask(RouterDriver.SCAN))).containsExactly("r1");
        assertThat(host.sends(host.ask(RouterDriver.SCAN))).containsExactly("r1");
    }

    @Test
    void longReadsAreRefusedFirstWhileWorthierOpsFindNoRoom() {
        for (int i = 0; i < 25; i++) {
            RequestId scan = host.ask(RouterDriver.SCAN);
            host.nowMs += 100;
            host.tell(new Event.AttemptEnded(
                    scan, 0, new ServerId(host.sends(scan).get(0)), Outcome.SUCCEEDED, 9000, true, null, null));
        }
        host.lagging(1100);
        for (int i = 0; i < 60; i++) {
            host.ask(RouterDriver.VIEW);
        }
        assertThat(host.sends(host.ask(RouterDriver.SCAN)))
                .as("a replica that lags of itself takes one")
                .containsExactly("r1");
        RequestId scan = host.ask(RouterDriver.SCAN);
        assertThat(host.sends(scan)).isEmpty();
        assertThat(host.busyReplies(scan)).isEqualTo(1);
    }

    @Test
    void aNonRetryableWriteThatMayHaveRunGetsAnErrorAndNoSecondSend() {
        RequestId write = host.ask(RouterDriver.SUBMIT);
        host.ends(write, 0, "p", Outcome.FAILED, null);
        assertThat(host.sends(write)).hasSize(1);
        assertThat(host.errorReplies(write)).isEqualTo(1);
        assertThat(host.busyReplies(write)).isZero();
    }

    @Test
    void aWriteProvenNotRunIsSentAgainAMomentLaterToAPrimaryThatWasFull() {
        RequestId write = host.ask(RouterDriver.SUBMIT);
        host.ends(write, 0, "p", Outcome.REJECTED, null);
        assertThat(host.sends(write)).as("not at once, while it is as full").containsExactly("p");
        assertThat(host.busyReplies(write)).isZero();
        host.pass(120);
        assertThat(host.sends(write)).containsExactly("p", "p");
        host.ends(write, 1, "p", Outcome.REJECTED, null);
        host.pass(120);
        assertThat(host.sends(write)).as("ever more seldom").hasSize(2);
    }

    @Test
    void aTokenedWriteIsRepeatedInItsWindowAndErroredAfterIt() {
        RequestId write = host.ask(RouterDriver.WITH_IDEMPOTENCY_KEY);
        host.ends(write, 0, "p", Outcome.FAILED, null);
        assertThat(host.sends(write)).containsExactly("p", "p");
        host.nowMs += 2000;
        host.ends(write, 1, "p", Outcome.FAILED, null);
        assertThat(host.sends(write)).hasSize(2);
        assertThat(host.errorReplies(write)).isEqualTo(1);
    }

    @Test
    void aHeldWriteThatWasNeverSentIsBusyRepliedWithinHalfItsTimeWhenNoPrimaryComes() {
        host.ends(host.ask(RouterDriver.SUBMIT), 0, "p", Outcome.MISDIRECTED, null);
        RequestId write = host.ask(RouterDriver.SUBMIT);
        host.pass(1400);
        assertThat(host.busyReplies(write)).isZero();
        host.pass(100);
        assertThat(host.busyReplies(write)).isEqualTo(1);
        assertThat(host.sends(write)).isEmpty();
    }

    @Test
    void nothingNewGoesToADrainingOrRemovedServer() {
        host.listed("r1", EndpointState.DRAINING, 0);
        host.listed("r2", EndpointState.GONE, 0);
        host.listed("p", EndpointState.DRAINING, 0);
        assertThat(host.sends(host.ask(RouterDriver.HISTORY))).isEmpty();
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).isEmpty();
    }

    @Test
    void whereRemovalDoesNotBindAServerGoneWithoutDrainingIsStillUsed() {
        RouterDriver loose = new RouterDriver(ReplicaGuarantees.StalenessCheck.NONE, false, false, 1);
        loose.list(true, "r1");
        loose.probed("r1", Role.REPLICA, loose.nowMs);
        loose.listed("r1", EndpointState.GONE, 0);
        assertThat(loose.sends(loose.ask(RouterDriver.VIEW))).containsExactly("r1");
    }

    @Test
    void aSilentReplicaLosesItsReadsToAnotherAndReturnsByATrial() {
        RequestId read = host.ask(RouterDriver.VIEW);
        String first = host.sends(read).get(0);
        String other = first.equals("r1") ? "r2" : "r1";
        host.unanswered(first);
        host.unanswered(first);
        assertThat(host.calledOff(read)).isTrue();
        host.ends(read, 0, first, Outcome.CANCELLED, null);
        assertThat(host.sends(read)).containsExactly(first, other);
        host.nowMs += 3000;
        host.probed(first, Role.REPLICA, host.nowMs);
        assertThat(host.logged("returns: answers probes")).isTrue();
        host.ask(RouterDriver.VIEW);
        host.ask(RouterDriver.VIEW);
        assertThat(host.acts.stream()
                        .filter(a -> a instanceof Action.StartAttempt s
                                && s.server().text().equals(first))
                        .count())
                .isLessThanOrEqualTo(2);
    }

    @Test
    void aReturnedPrimaryIsTriedWhileOldWritesAreStillStuckOnIt() {
        for (int i = 0; i < 10; i++) {
            host.ask(RouterDriver.SUBMIT);
        }
        host.pass(700);
        assertThat(host.logged("server p silent")).isTrue();
        RequestId held = host.ask(RouterDriver.SUBMIT);
        assertThat(host.sends(held)).isEmpty();
        host.pass(400);
        host.levelled("p", "r1", "r2");
        assertThat(host.sends(held)).containsExactly("p");
        host.ask(RouterDriver.SUBMIT);
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT)))
                .as("writes may be two at once")
                .isEmpty();
    }

    @Test
    void aServerWithoutTheAnswersItShouldHaveGivenIsSilent() {
        for (int i = 0; i < 8; i++) {
            host.ask(RouterDriver.HISTORY);
        }
        host.pass(600);
        assertThat(host.logged("silent: quiet")).isTrue();
    }

    @Test
    void aReplicaThatFailsFastIsLeftOut() {
        for (int i = 0; i < 12; i++) {
            RequestId read = host.ask(RouterDriver.HISTORY);
            for (int s = 0; s < host.sends(read).size() && s < 4; s++) {
                boolean bad = host.sends(read).get(s).equals("r1");
                host.ends(read, s, host.sends(read).get(s), bad ? Outcome.FAILED : Outcome.SUCCEEDED, null);
            }
        }
        assertThat(host.logged("server r1 silent: fails")).isTrue();
        assertThat(host.sends(host.ask(RouterDriver.HISTORY))).containsExactly("r2");
    }

    @Test
    void aColdServerGetsLittleUntilItHasWarmed() {
        host.listed("r1", EndpointState.IN, host.nowMs);
        int cold = 0;
        for (int i = 0; i < 12; i++) {
            cold += host.sends(host.ask(RouterDriver.HISTORY)).contains("r1") ? 1 : 0;
        }
        assertThat(cold).isLessThanOrEqualTo(4);
    }

    @Test
    void sessionReadsFollowTheWritesAcknowledgedHere() {
        RequestId write = host.ask(RouterDriver.SUBMIT, "s", 0);
        host.nowMs += 100;
        host.ends(write, 0, "p", Outcome.SUCCEEDED, note(Role.PRIMARY, host.nowMs));
        assertThat(host.sends(host.ask(RouterDriver.SESSION, "s", 0))).containsExactly("p");
        assertThat(host.sends(host.ask(RouterDriver.SESSION, "other", 0)))
                .isSubsetOf("r1", "r2")
                .hasSize(1);
        host.probed("r1", Role.REPLICA, host.nowMs + 1);
        assertThat(host.sends(host.ask(RouterDriver.SESSION, "s", 0))).containsExactly("r1");
    }

    @Test
    void aCarriedTokenSetsTheBoundAndAZeroTokenAdmitsAnyReplica() {
        RouterDriver carried = new RouterDriver(ReplicaGuarantees.StalenessCheck.NONE, true, true, 1);
        carried.list(true, "p", "r1");
        carried.levelled("p", "r1");
        carried.nowMs += 100;
        assertThat(carried.sends(carried.ask(RouterDriver.SESSION, "s", 50))).containsExactly("p");
        assertThat(carried.sends(carried.ask(RouterDriver.SESSION, "s", 0))).containsExactly("r1");
        assertThat(carried.sends(carried.ask(RouterDriver.SESSION, "s", 200))).containsExactly("r1");
    }

    @Test
    void aFreshReadGoesToThePrimary() {
        assertThat(host.sends(host.ask(RouterDriver.FRESH))).containsExactly("p");
    }

    @Test
    void nothingIsSentForAnOpWhoseClientHasLeft() {
        RequestId read = host.ask(RouterDriver.VIEW);
        String server = host.sends(read).get(0);
        host.tell(new Event.ClientDisconnected(read));
        assertThat(host.calledOff(read)).isTrue();
        host.ends(read, 0, server, Outcome.CANCELLED, null);
        assertThat(host.sends(read)).hasSize(1);
        assertThat(host.busyReplies(read) + host.errorReplies(read)).isZero();
    }

    @Test
    void sameEventsGiveSameActions() {
        List<RouterDriver> twins = List.of(RouterDriver.settled(), RouterDriver.settled());
        for (RouterDriver twin : twins) {
            for (int i = 0; i < 20; i++) {
                twin.ask(i % 6);
            }
            twin.pass(500);
        }
        assertThat(twins.get(0).acts).hasSizeGreaterThan(20).isEqualTo(twins.get(1).acts);
    }

    @Test
    void regularProbesComeEachThirdOfTheTightestBoundToAServerNotHeardOfOtherwise() {
        long before = host.probes("r1");
        for (int i = 0; i < 6; i++) {
            host.pass(90);
            for (int j = 0; j < 15; j++) {
                host.ends(host.ask(RouterDriver.FRESH), 0, "p", Outcome.SUCCEEDED, null);
            }
            host.ask(RouterDriver.FRESH);
            host.pass(150);
            host.levelled("p", "r1", "r2");
        }
        assertThat(host.probes("r1") - before).isBetween(5L, 6L);
    }

    @Test
    void whileRoomIsShortAnOpWithinItsTenantsShareGoesBeforeOneBeyondIt() {
        host.ends(host.ask(RouterDriver.SUBMIT), 0, "p", Outcome.MISDIRECTED, null);
        List<RequestId> asked = new ArrayList<>();
        for (int i = 0; i < 130; i++) {
            asked.add(host.ask(RouterDriver.SUBMIT));
        }
        host.nowMs += 400;
        host.probed("r1", Role.PRIMARY, host.nowMs);
        assertThat(asked.subList(0, 99))
                .filteredOn(request -> !host.sends(request).isEmpty())
                .isNotEmpty();
        assertThat(asked.subList(100, 130))
                .allMatch(request -> host.sends(request).isEmpty());
    }

    @Test
    void aServerThatReturnsFromLongSilenceIsTakenForColdBeforeTheListTellsOfIt() {
        host.unanswered("r1");
        host.unanswered("r1");
        host.nowMs += 5000;
        host.levelled("p", "r1", "r2");
        int cold = 0;
        for (int i = 0; i < 12; i++) {
            cold += host.sends(host.ask(RouterDriver.HISTORY)).contains("r1") ? 1 : 0;
        }
        assertThat(cold).isLessThanOrEqualTo(1);
    }

    @Test
    void aServerHeardLateAtASlowStartIsNotColdWhereTheListSaysThatItStartedLongAgo() {
        RouterDriver fresh = new RouterDriver();
        fresh.list(true, "r1");
        fresh.unanswered("r1");
        fresh.unanswered("r1");
        fresh.nowMs += 5000;
        fresh.probed("r1", Role.REPLICA, fresh.nowMs);
        for (int i = 0; i < 12; i++) {
            RequestId read = fresh.ask(RouterDriver.HISTORY);
            assertThat(fresh.sends(read)).as("read " + i).containsExactly("r1");
            fresh.ends(read, 0, "r1", Outcome.SUCCEEDED, note(Role.REPLICA, fresh.nowMs));
        }
    }

    @Test
    void aBoundedReadIsToBeWrittenWhileThePositionFitsItsBoundAndOneAtThePrimaryAtAnyTime() {
        RouterDriver h = RouterDriver.settled();
        h.pass(100); // r1 and r2 stand where they stood then, but for what a probe told since
        RequestId read = h.ask(RouterDriver.VIEW);
        Action.StartAttempt s = h.acts.stream()
                .filter(a -> a instanceof Action.StartAttempt x && x.request().equals(read))
                .map(a -> (Action.StartAttempt) a)
                .findFirst()
                .orElseThrow();
        assertThat(s.server().text()).startsWith("r");
        assertThat(s.writeBy()).isEqualTo(100_000 * 10 - 10 + 5000); // a position is rounded down by a millisecond
        RequestId write = h.ask(RouterDriver.SUBMIT);
        assertThat(h.acts.stream()
                        .filter(a -> a instanceof Action.StartAttempt x
                                && x.request().equals(write))
                        .map(a -> ((Action.StartAttempt) a).writeBy()))
                .containsExactly(Long.MAX_VALUE);
    }

    @Test
    void aWriteIsGivenUpBeforeItsTimeIsUpSoThatItsAnswerComesInTime() {
        RouterDriver h = RouterDriver.settled();
        RequestId write = h.ask(RouterDriver.SUBMIT);
        assertThat(h.acts.stream()
                        .filter(a -> a instanceof Action.StartAttempt x
                                && x.request().equals(write))
                        .map(a -> ((Action.StartAttempt) a).timeLimit()))
                .containsExactly(30_000L - 30_000 / 50);
    }
}
