package ploverdale.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ploverdale.gossip.Datagram.Kind;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ServerId;

/** Datagrams between gateways whose service times differ. Times in tenths of a millisecond. */
class RedatedDatagramTest {
    private static final long MS = 10;
    private static final long SECOND = 1000 * MS;
    private static final long NOW = 1_700_000_000L * SECOND;
    private static final int SERVER = Datagram.number(new ServerId("r1"));

    private static ServerObservation placed(long position, long at) {
        return new ServerObservation(
                Role.REPLICA,
                at,
                position,
                at,
                at,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME);
    }

    @ParameterizedTest
    @ValueSource(longs = {5 * SECOND, -5 * SECOND, 3600 * SECOND, -3600 * SECOND})
    void aPositionIsTheSameForTheReaderHoweverFarTheSendersServiceTimeIsOff(long senderAhead) {
        long position = NOW - 700 * MS;
        byte[] sent = new Datagram(
                        Kind.TELLS,
                        NOW + senderAhead,
                        Map.of(SERVER, placed(position + senderAhead, NOW + senderAhead)))
                .bytes();
        Datagram read = Datagram.read(Datagram.redated(sent, -senderAhead)).datagram();
        assertThat(read.sentAt()).isEqualTo(NOW);
        assertThat(read.words().get(SERVER).position()).isEqualTo(position);
        assertThat(read.words().get(SERVER).positionAt()).isEqualTo(NOW);
    }

    /**
     * One whose offset is taken for 0 dates positions by the servers' clock and its sending by its own: they stay
     * what they are.
     */
    @ParameterizedTest
    @ValueSource(longs = {400 * MS, -400 * MS, -1900 * MS, 5 * SECOND, -5 * SECOND, 3600 * SECOND, -3600 * SECOND})
    void aSenderWhoseClockIsOffUnnoticedMakesNoPositionFresher(long senderAhead) {
        long position = NOW - 3 * SECOND;
        byte[] sent = new Datagram(Kind.TELLS, NOW + senderAhead, Map.of(SERVER, placed(position, NOW + senderAhead)))
                .bytes();
        GossipProtocol gossip =
                new GossipProtocol(0, 3, 100, 5000, new SplittableRandom(1), id -> ServerObservation.NONE);
        gossip.listed(new ServerId("r1"));
        gossip.starts(NOW);
        Map<ServerId, ServerObservation> words = gossip.hears(NOW, 1, sent).words();
        assertThat(words.values()).allSatisfy(w -> assertThat(w.position()).isLessThanOrEqualTo(position));
    }

    @Test
    void whatIsNoSoundDatagramIsLeftForTheReaderToRefuse() {
        byte[] corrupt = new Datagram(Kind.ASKS, NOW, Map.of()).bytes();
        corrupt[5] ^= 1;
        assertThat(Datagram.redated(corrupt, SECOND)).isSameAs(corrupt);
    }

    @Test
    void positionsThatCannotBeDatedAreNotTold() {
        ServerId server = new ServerId("r1");
        GossipProtocol gossip =
                new GossipProtocol(0, 3, 100, 5000, new SplittableRandom(1), id -> ServerObservation.NONE);
        gossip.listed(server);
        gossip.starts(NOW);
        ServerObservation drained = // news, which is told on
                new ServerObservation(
                        Role.REPLICA, NOW, NOW, NOW, NOW, LoadReport.UNKNOWN_TIME, LoadReport.UNKNOWN_TIME, NOW);
        gossip.hears(NOW, 1, new Datagram(Kind.TELLS, NOW, Map.of(SERVER, drained)).bytes());
        gossip.forgetPositions();
        assertThat(gossip.due(NOW + SECOND))
                .isNotEmpty()
                .allSatisfy(letter -> assertThat(
                                Datagram.read(letter.bytes()).datagram().words().values())
                        .allSatisfy(w -> assertThat(w.position()).isEqualTo(LoadReport.UNKNOWN_TIME)));
    }
}
