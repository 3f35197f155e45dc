package ploverdale.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import ploverdale.membership.Membership.Change;
import ploverdale.membership.MembershipMessage.Updates;

/** The transitions in the table of {@link MemberState}, and the refutation of updates about this gateway itself. */
class MemberStateTransitionsTest {
    private static final long MS = 10;
    private static final long TICK = 20 * MS;
    private static final int SELF = 0;
    private static final int MEMBER = 1;
    private static final int OBSERVER = 2;
    private static final long STARTED_MS = 1_700_000_000_000L;
    private static final long INCARNATION = Incarnation.first(STARTED_MS);

    private long now = 1000 * MS;
    private final Membership membership = new Membership(SELF, 3, STARTED_MS, new SplittableRandom(1));
    private final PacketQueue queue = new PacketQueue(100_000, now);

    @BeforeEach
    void observerIsAlive() {
        membership.acceptPacket(now, OBSERVER, INCARNATION);
    }

    private void memberSends(long incarnation) {
        membership.acceptPacket(now, MEMBER, incarnation);
    }

    private void observerReports(int member, long incarnation, MemberState state) {
        Updates updates = new Updates(List.of(new MemberUpdate(member, incarnation, state)));
        membership.onPart(now, OBSERVER, MembershipCodec.encode(updates), queue);
    }

    /** Ticks, with the observer in contact, until the member is in the state. Fails after the time limit. */
    private void awaitState(MemberState state, long limit) {
        for (long end = now + limit; membership.state(MEMBER) != state; now += TICK) {
            assertThat(now).as("still %s", membership.state(MEMBER)).isLessThan(end);
            membership.acceptPacket(now, OBSERVER, INCARNATION);
            membership.onTick(now, queue);
            queue.drain(now, membership.incarnation(), 1);
        }
    }

    @Test
    void anUnknownMemberIsAliveAfterItsFirstPacket() {
        assertThat(membership.state(MEMBER)).isEqualTo(MemberState.UNKNOWN);
        memberSends(INCARNATION);
        assertThat(membership.drainChanges())
                .contains(new Change(MEMBER, MemberState.UNKNOWN, MemberState.ALIVE, INCARNATION));
    }

    @Test
    void anUnknownMemberIsDeadAfterAnUnansweredProbe() {
        awaitState(MemberState.DEAD, 2000 * MS);
        assertThat(membership.drainChanges())
                .extracting(Change::member, Change::previous)
                .contains(tuple(MEMBER, MemberState.UNKNOWN));
    }

    @Test
    void anAliveMemberIsSuspectAfterAnUnansweredProbeAndThenDead() {
        memberSends(INCARNATION);
        awaitState(MemberState.SUSPECT, 2000 * MS);
        assertThat(membership.isPresent(MEMBER)).isTrue();
        awaitState(MemberState.DEAD, 4000 * MS);
        assertThat(membership.isPresent(MEMBER)).isFalse();
    }

    @Test
    void aReportedSuspicionIsConfirmedByAProbeBeforeTheSuspicionTimeout() {
        memberSends(INCARNATION);
        now += FailureDetector.PROTOCOL_PERIOD;
        observerReports(MEMBER, INCARNATION, MemberState.SUSPECT);
        assertThat(membership.state(MEMBER)).isEqualTo(MemberState.SUSPECT);
        awaitState(MemberState.DEAD, FailureDetector.PROTOCOL_PERIOD + 2 * TICK);
    }

    @Test
    void aReportedSuspicionIsIgnoredWithinAProtocolPeriodAfterContact() {
        memberSends(INCARNATION);
        now += FailureDetector.PROTOCOL_PERIOD - 1;
        observerReports(MEMBER, INCARNATION, MemberState.SUSPECT);
        assertThat(membership.state(MEMBER)).isEqualTo(MemberState.ALIVE);
    }

    @ParameterizedTest
    @EnumSource(names = {"SUSPECT", "LEAVING", "DEAD"})
    void onlyAHigherIncarnationMakesAMemberAliveAgain(MemberState state) {
        memberSends(INCARNATION);
        now += FailureDetector.PROTOCOL_PERIOD;
        observerReports(MEMBER, INCARNATION, state);
        memberSends(INCARNATION);
        assertThat(membership.state(MEMBER)).isEqualTo(state);
        memberSends(INCARNATION + 1);
        assertThat(membership.state(MEMBER)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void withinAnIncarnationOnlyAStateOfHigherPrecedenceIsApplied() {
        memberSends(INCARNATION);
        observerReports(MEMBER, INCARNATION, MemberState.LEAVING);
        observerReports(MEMBER, INCARNATION, MemberState.ALIVE);
        assertThat(membership.state(MEMBER)).isEqualTo(MemberState.LEAVING);
        observerReports(MEMBER, INCARNATION - 1, MemberState.DEAD);
        assertThat(membership.state(MEMBER)).isEqualTo(MemberState.LEAVING);
        observerReports(MEMBER, INCARNATION, MemberState.DEAD);
        assertThat(membership.state(MEMBER)).isEqualTo(MemberState.DEAD);
    }

    @Test
    void aSuspicionOfThisGatewayIsRefutedWithTheNextIncarnation() {
        observerReports(SELF, INCARNATION, MemberState.SUSPECT);
        assertThat(membership.incarnation()).isEqualTo(INCARNATION + 1);
        assertThat(membership.state(SELF)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void anUpdateAboutALaterStartOfThisGatewayIsRefutedWithAnEvenLaterStart() {
        long later = Incarnation.first(STARTED_MS + 60_000);
        observerReports(SELF, later, MemberState.ALIVE);
        assertThat(Incarnation.startOf(membership.incarnation())).isGreaterThan(Incarnation.startOf(later));
    }

    @Test
    void aGatewayThatShutsDownDoesNotRefuteAnUpdateThatItIsDead() {
        membership.leave(now);
        observerReports(SELF, INCARNATION, MemberState.DEAD);
        assertThat(membership.incarnation()).isEqualTo(INCARNATION);
        assertThat(membership.state(SELF)).isEqualTo(MemberState.LEAVING);
    }
}
