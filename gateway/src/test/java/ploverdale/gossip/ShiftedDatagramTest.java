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

/** Datagrams between gateways whose clocks differ. Times in tenths of a millisecond. */
class ShiftedDatagramTest {
    private static final long MS = 10;
    private static final long SECOND = 1000 * MS;
    private static final long NOW = 1_700_000_000L * SECOND;
    private static final int SERVER_HASH = ServerHash.of(new ServerId("r1"));

    private static ServerObservation observation(long position, long at) {
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
    void theReceiverSeesTheSamePositionHoweverFarTheSendersClockIsOff(long senderAhead) {
        long position = NOW - 700 * MS;
        byte[] sent = DatagramCodec.encode(new Datagram(
                Kind.OBSERVATIONS,
                NOW + senderAhead,
                Map.of(SERVER_HASH, observation(position + senderAhead, NOW + senderAhead))));
        Datagram read = DatagramCodec.decode(DatagramCodec.shiftSentAt(sent, -senderAhead))
                .datagram();
        assertThat(read.sentAt()).isEqualTo(NOW);
        assertThat(read.observations().get(SERVER_HASH).position()).isEqualTo(position);
        assertThat(read.observations().get(SERVER_HASH).positionAt()).isEqualTo(NOW);
    }

    /**
     * A sender that wrongly takes its clock offset for 0 dates positions by the servers' clock, but the sending time by
     * its own clock. The positions must not become newer for the receiver.
     */
    @ParameterizedTest
    @ValueSource(longs = {400 * MS, -400 * MS, -1900 * MS, 5 * SECOND, -5 * SECOND, 3600 * SECOND, -3600 * SECOND})
    void aSenderWithAnUnnoticedClockOffsetMakesNoPositionNewer(long senderAhead) {
        long position = NOW - 3 * SECOND;
        byte[] sent = DatagramCodec.encode(new Datagram(
                Kind.OBSERVATIONS, NOW + senderAhead, Map.of(SERVER_HASH, observation(position, NOW + senderAhead))));
        GossipProtocol gossip =
                new GossipProtocol(0, 3, 100, 5000, new SplittableRandom(1), id -> ServerObservation.NONE);
        gossip.addServer(new ServerId("r1"));
        gossip.start(NOW);
        Map<ServerId, ServerObservation> accepted =
                gossip.onDatagram(NOW, 1, sent).observations();
        assertThat(accepted.values())
                .allSatisfy(observation -> assertThat(observation.position()).isLessThanOrEqualTo(position));
    }

    @Test
    void aCorruptDatagramIsReturnedUnchanged() {
        byte[] corrupt = DatagramCodec.encode(new Datagram(Kind.SNAPSHOT_REQUEST, NOW, Map.of()));
        corrupt[5] ^= 1;
        assertThat(DatagramCodec.shiftSentAt(corrupt, SECOND)).isSameAs(corrupt);
    }

    @Test
    void forgottenPositionsAreNotSent() {
        ServerId server = new ServerId("r1");
        GossipProtocol gossip =
                new GossipProtocol(0, 3, 100, 5000, new SplittableRandom(1), id -> ServerObservation.NONE);
        gossip.addServer(server);
        gossip.start(NOW);
        ServerObservation draining = // draining is a change that is forwarded
                new ServerObservation(
                        Role.REPLICA, NOW, NOW, NOW, NOW, LoadReport.UNKNOWN_TIME, LoadReport.UNKNOWN_TIME, NOW);
        gossip.onDatagram(
                NOW, 1, DatagramCodec.encode(new Datagram(Kind.OBSERVATIONS, NOW, Map.of(SERVER_HASH, draining))));
        gossip.forgetPositions();
        assertThat(gossip.due(NOW + SECOND))
                .isNotEmpty()
                .allSatisfy(packet -> assertThat(DatagramCodec.decode(packet.bytes())
                                .datagram()
                                .observations()
                                .values())
                        .allSatisfy(observation ->
                                assertThat(observation.position()).isEqualTo(LoadReport.UNKNOWN_TIME)));
    }
}
