package ploverdale.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A gateway process that is restarted, also while its wall clock is behind that of its earlier start. */
class RestartedMemberTest {
    private static final long MS = 10;
    private static final long SECOND = 1000 * MS;
    private static final long STARTED_MS = 1_700_000_000_000L;

    private long now = SECOND;
    private final Membership peer = member(0, STARTED_MS);
    private final PacketQueue peerQueue = new PacketQueue(100_000, now);
    private Membership restarted = member(1, STARTED_MS);
    private PacketQueue restartedQueue = new PacketQueue(100_000, now);

    private static Membership member(int me, long startedMs) {
        return new Membership(me, 2, startedMs, new SplittableRandom(me));
    }

    /** Both members tick and receive each other's packets. */
    private void exchange() {
        peer.onTick(now, peerQueue);
        restarted.onTick(now, restartedQueue);
        deliver(peer, peerQueue, 0, restarted, restartedQueue);
        deliver(restarted, restartedQueue, 1, peer, peerQueue);
        deliver(peer, peerQueue, 0, restarted, restartedQueue);
        now += 20 * MS;
    }

    private void deliver(Membership sender, PacketQueue from, int number, Membership receiver, PacketQueue answers) {
        for (PacketQueue.OutboundPacket packet : from.drain(now, sender.incarnation(), 1)) {
            Packet decoded = PacketCodec.decode(packet.bytes());
            if (!receiver.acceptPacket(now, number, decoded.incarnation())) {
                receiver.correctStaleSender(number, answers);
                continue;
            }
            decoded.parts().forEach(part -> receiver.onPart(now, number, part, answers));
        }
    }

    private void exchangeFor(long span) {
        for (long end = now + span; now < end; ) {
            exchange();
        }
    }

    private void restart(long startedMs) {
        restarted = member(1, startedMs);
        restartedQueue = new PacketQueue(100_000, now);
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, 3_600_000})
    void aRestartedMemberIsAliveWithinASecondWithTheIncarnationOfALaterStart(long behindMs) {
        exchangeFor(3 * SECOND);
        long before = restarted.incarnation();
        assertThat(peer.state(1)).isEqualTo(MemberState.ALIVE);
        restart(STARTED_MS - behindMs);
        exchangeFor(SECOND);
        assertThat(peer.state(1)).isEqualTo(MemberState.ALIVE);
        assertThat(restarted.incarnation()).isGreaterThan(before);
        assertThat(Incarnation.startOf(restarted.incarnation())).isGreaterThan(Incarnation.startOf(before));
        assertThat(peer.incarnation(1)).isEqualTo(restarted.incarnation());
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, 3_600_000})
    void aMemberThatShutDownIsAliveAgainAfterARestart(long behindMs) {
        exchangeFor(3 * SECOND);
        restarted.leave(now);
        exchangeFor(20 * SECOND);
        assertThat(peer.state(1)).isEqualTo(MemberState.LEAVING);
        restart(STARTED_MS - behindMs);
        exchangeFor(5 * SECOND);
        assertThat(peer.state(1)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void aDelayedPacketOfAnEarlierStartHasNoEffect() {
        exchangeFor(3 * SECOND);
        restart(STARTED_MS + 60_000);
        exchangeFor(3 * SECOND);
        long incarnation = restarted.incarnation();
        assertThat(peer.acceptPacket(now, 1, STARTED_MS << 7)).isFalse();
        peer.correctStaleSender(1, peerQueue);
        exchangeFor(SECOND);
        assertThat(restarted.incarnation()).isEqualTo(incarnation);
        assertThat(peer.state(1)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void aRestartWithALaterClockNeedsNoCorrection() {
        exchangeFor(3 * SECOND);
        restart(STARTED_MS + 1);
        exchangeFor(SECOND);
        assertThat(restarted.incarnation()).isEqualTo((STARTED_MS + 1) << 7);
        assertThat(List.of(peer.state(1), restarted.state(0))).containsOnly(MemberState.ALIVE);
    }
}
