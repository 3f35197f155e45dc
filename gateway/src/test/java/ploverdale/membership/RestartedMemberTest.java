package ploverdale.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A process that is started again under its name while its wall clock is behind that of its earlier start. */
class RestartedMemberTest {
    private static final long MS = 10;
    private static final long SECOND = 1000 * MS;
    private static final long STARTED_MS = 1_700_000_000_000L;

    private long now = SECOND;
    private final Membership peer = member(0, STARTED_MS);
    private final PacketQueue fromPeer = new PacketQueue(100_000, now);
    private Membership returner = member(1, STARTED_MS);
    private PacketQueue fromReturner = new PacketQueue(100_000, now);

    private static Membership member(int me, long startedMs) {
        return new Membership(me, 2, startedMs, new SplittableRandom(me));
    }

    /** Both do what is due and get each other's packets, as on the wire. */
    private void exchange() {
        peer.onTick(now, fromPeer);
        returner.onTick(now, fromReturner);
        carry(peer, fromPeer, 0, returner, fromReturner);
        carry(returner, fromReturner, 1, peer, fromPeer);
        carry(peer, fromPeer, 0, returner, fromReturner);
        now += 20 * MS;
    }

    private void carry(Membership sender, PacketQueue from, int number, Membership receiver, PacketQueue answers) {
        for (PacketQueue.OutboundPacket letter : from.drain(now, sender.incarnation(), 1)) {
            Packet p = PacketCodec.decode(letter.bytes());
            if (!receiver.acceptPacket(now, number, p.incarnation())) {
                receiver.correctStaleSender(number, answers);
                continue;
            }
            p.parts().forEach(part -> receiver.onPart(now, number, part, answers));
        }
    }

    private void exchangeFor(long span) {
        for (long end = now + span; now < end; ) {
            exchange();
        }
    }

    private void restarts(long startedMs) {
        returner = member(1, startedMs);
        fromReturner = new PacketQueue(100_000, now);
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, 3_600_000})
    void itIsTakenInWithinAPeriodAndSpeaksAsAnotherStartThanTheOneBefore(long behindMs) {
        exchangeFor(3 * SECOND);
        long before = returner.incarnation();
        assertThat(peer.state(1)).isEqualTo(MemberState.ALIVE);
        restarts(STARTED_MS - behindMs);
        exchangeFor(SECOND);
        assertThat(peer.state(1)).isEqualTo(MemberState.ALIVE);
        assertThat(returner.incarnation()).isGreaterThan(before);
        assertThat(Incarnation.startOf(returner.incarnation())).isGreaterThan(Incarnation.startOf(before));
        assertThat(peer.incarnation(1)).isEqualTo(returner.incarnation());
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, 3_600_000})
    void itIsTakenInAgainAfterItLeft(long behindMs) {
        exchangeFor(3 * SECOND);
        returner.leave(now);
        exchangeFor(20 * SECOND);
        assertThat(peer.state(1)).isEqualTo(MemberState.LEAVING);
        restarts(STARTED_MS - behindMs);
        exchangeFor(5 * SECOND);
        assertThat(peer.state(1)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void aDelayedPacketOfAnEarlierStartChangesNothing() {
        exchangeFor(3 * SECOND);
        restarts(STARTED_MS + 60_000);
        exchangeFor(3 * SECOND);
        long incarnation = returner.incarnation();
        assertThat(peer.acceptPacket(now, 1, STARTED_MS << 7)).isFalse();
        peer.correctStaleSender(1, fromPeer);
        exchangeFor(SECOND);
        assertThat(returner.incarnation()).isEqualTo(incarnation);
        assertThat(peer.state(1)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void aStartedProcessThatIsAheadOfItsPastNeedsNoCorrection() {
        exchangeFor(3 * SECOND);
        restarts(STARTED_MS + 1);
        exchangeFor(SECOND);
        assertThat(returner.incarnation()).isEqualTo((STARTED_MS + 1) << 7);
        assertThat(List.of(peer.state(1), returner.state(0))).containsOnly(MemberState.ALIVE);
    }
}
