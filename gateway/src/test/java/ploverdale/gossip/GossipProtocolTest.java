package ploverdale.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static ploverdale.gossip.ServerObservationTest.NOW;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import ploverdale.gossip.GossipProtocol.OutboundPacket;
import ploverdale.gossip.GossipProtocol.ReceivedGossip;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ServerId;

/** How gateways handle each other's gossip datagrams, which the test delivers directly. */
class GossipProtocolTest {
    private static final ServerId SERVER = new ServerId("p");
    private static final ServerId OTHER_SERVER = new ServerId("r");
    private static final long MS = 10;

    /**
     * Gateways and their observations. Each gateway joins the observations that it accepts with its own, as the router
     * does.
     */
    private static final class GatewayCluster {
        private final List<GossipProtocol> gateways = new ArrayList<>();
        private final List<Map<ServerId, ServerObservation>> knownObservations = new ArrayList<>();
        private int packets;
        private int bytes;

        private GatewayCluster(int gatewayCount) {
            for (int i = 0; i < gatewayCount; i++) {
                Map<ServerId, ServerObservation> own = new HashMap<>();
                GossipProtocol protocol = new GossipProtocol(
                        i,
                        gatewayCount,
                        1e9,
                        5000,
                        new SplittableRandom(i),
                        id -> own.getOrDefault(id, ServerObservation.NONE));
                protocol.addServer(SERVER);
                protocol.addServer(OTHER_SERVER);
                gateways.add(protocol);
                knownObservations.add(own);
            }
        }

        private ReceivedGossip deliver(long now, int receiver, int from, byte[] bytes) {
            ReceivedGossip received = gateways.get(receiver).onDatagram(now, from, bytes);
            received.observations()
                    .forEach((id, observation) ->
                            knownObservations.get(receiver).merge(id, observation, ServerObservation::join));
            return received;
        }

        private void deliverAll(
                long now, int from, List<OutboundPacket> packetsToDeliver, double loss, SplittableRandom random) {
            for (OutboundPacket packet : packetsToDeliver) {
                packets++;
                bytes += packet.bytes().length;
                if (random.nextDouble() >= loss) {
                    deliverAll(
                            now,
                            packet.peer(),
                            deliver(now, packet.peer(), from, packet.bytes()).replies(),
                            loss,
                            random);
                }
            }
        }

        private void run(long from, long until, double loss) {
            SplittableRandom random = new SplittableRandom(3);
            for (long now = from; now < until; now += 20 * MS) {
                for (int i = 0; i < gateways.size(); i++) {
                    deliverAll(now, i, gateways.get(i).due(now), loss, random);
                }
            }
        }

        private void observe(long now, int gateway, ServerId id, ServerObservation observation) {
            knownObservations.get(gateway).merge(id, observation, ServerObservation::join);
            gateways.get(gateway).onObservationChanged(now, id);
        }

        private long countGatewaysWithRole(ServerId id, Role role) {
            return knownObservations.stream()
                    .filter(byServer ->
                            byServer.getOrDefault(id, ServerObservation.NONE).role() == role)
                    .count();
        }
    }

    /** An observation of a role and a response at the same time. */
    static ServerObservation role(Role role, long at) {
        return new ServerObservation(
                role,
                at,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                at,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME);
    }

    private static byte[] datagram(long sentAt, ServerId id, ServerObservation observation) {
        return DatagramCodec.encode(
                new Datagram(Datagram.Kind.OBSERVATIONS, sentAt, Map.of(ServerHash.of(id), observation)));
    }

    @Test
    void aGatewayThatStartsRequestsSnapshotsAndLearnsTheRoles() {
        GatewayCluster cluster = new GatewayCluster(3);
        cluster.knownObservations.get(1).put(SERVER, role(Role.PRIMARY, NOW - 100 * MS));
        cluster.knownObservations.get(2).put(OTHER_SERVER, role(Role.REPLICA, NOW - 100 * MS));
        cluster.gateways.get(0).start(NOW);
        cluster.run(NOW, NOW + 20 * MS, 0);
        assertThat(cluster.knownObservations.get(0).get(SERVER).role()).isEqualTo(Role.PRIMARY);
        assertThat(cluster.knownObservations.get(0).get(OTHER_SERVER).role()).isEqualTo(Role.REPLICA);
        assertThat(cluster.knownObservations.get(0).get(SERVER).roleAt()).isLessThanOrEqualTo(NOW - 100 * MS);
    }

    @Test
    void unansweredSnapshotRequestsAreRepeatedABoundedNumberOfTimes() {
        GatewayCluster cluster = new GatewayCluster(3);
        cluster.gateways.get(0).start(NOW);
        cluster.run(NOW, NOW + 10_000 * MS, 1);
        assertThat(cluster.packets).isEqualTo(8);
    }

    @Test
    void aChangeReachesNearlyAllGatewaysWithAFewPacketsEach() {
        GatewayCluster cluster = new GatewayCluster(260);
        cluster.observe(NOW, 0, SERVER, role(Role.PRIMARY, NOW));
        cluster.run(NOW, NOW + 1000 * MS, 0.1);
        assertThat(cluster.countGatewaysWithRole(SERVER, Role.PRIMARY)).isGreaterThan(250);
        assertThat(cluster.packets).isLessThan(260 * 6 + 1);
        int before = cluster.packets;
        cluster.run(NOW + 1000 * MS, NOW + 5000 * MS, 0.1);
        assertThat(cluster.packets).isEqualTo(before); // the rumor has no rounds left
    }

    @Test
    void anOlderObservationNeverReplacesANewerOne() {
        GatewayCluster cluster = new GatewayCluster(3);
        cluster.deliver(NOW, 0, 1, datagram(NOW, SERVER, role(Role.REPLICA, NOW - 10 * MS)));
        cluster.deliver(NOW, 0, 2, datagram(NOW, SERVER, role(Role.PRIMARY, NOW - 500 * MS)));
        assertThat(cluster.knownObservations.get(0).get(SERVER).role()).isEqualTo(Role.REPLICA);
    }

    @Test
    void outdatedObservationsAreIgnoredAndLateDatagramsAreRejected() {
        GatewayCluster cluster = new GatewayCluster(3);
        cluster.deliver(NOW, 0, 1, datagram(NOW, SERVER, role(Role.PRIMARY, NOW - 31_000 * MS)));
        assertThat(cluster.knownObservations.get(0).get(SERVER).role()).isEqualTo(Role.UNKNOWN);
        ReceivedGossip late =
                cluster.deliver(NOW, 0, 1, datagram(NOW - 3000 * MS, SERVER, role(Role.PRIMARY, NOW - 3000 * MS)));
        assertThat(late.observations()).isEmpty();
        assertThat(late.logLine()).contains("1 LATE");
    }

    @Test
    void aSenderWhoseClockIsAheadMakesNoObservationNewerThanNow() {
        GatewayCluster cluster = new GatewayCluster(3);
        cluster.deliver(NOW, 0, 1, datagram(NOW + 400 * MS, SERVER, role(Role.PRIMARY, NOW + 400 * MS)));
        assertThat(cluster.knownObservations.get(0).get(SERVER).roleAt()).isLessThanOrEqualTo(NOW);
        assertThat(cluster.deliver(NOW, 0, 1, datagram(NOW + 600 * MS, SERVER, role(Role.PRIMARY, NOW)))
                        .logLine())
                .contains("OF_THE_FUTURE");
    }

    @Test
    void observationsOfUnlistedServersAreIgnored() {
        GatewayCluster cluster = new GatewayCluster(2);
        assertThat(cluster.deliver(NOW, 0, 1, datagram(NOW, new ServerId("unknown"), role(Role.PRIMARY, NOW)))
                        .observations())
                .isEmpty();
    }

    @Test
    void aPeerThatReportsWrongRolesIsTrustedLessAndRecoversOverTime() {
        GatewayCluster cluster = new GatewayCluster(3);
        for (int i = 0; i < 3; i++) {
            long at = NOW + i * 1000 * MS;
            cluster.deliver(at, 0, 1, datagram(at, SERVER, role(Role.PRIMARY, at)));
            cluster.gateways.get(0).onRoleVerified(at, SERVER, false);
        }
        long now = NOW + 3000 * MS;
        assertThat(cluster.gateways.get(0).trustIn(now, 1)).isLessThan(0.2);
        byte[] datagram = datagram(now, SERVER, role(Role.PRIMARY, now));
        assertThat(cluster.deliver(now, 0, 1, datagram)
                        .observations()
                        .get(SERVER)
                        .role())
                .isEqualTo(Role.UNKNOWN);
        assertThat(cluster.deliver(now, 0, 2, datagram)
                        .observations()
                        .get(SERVER)
                        .role())
                .isEqualTo(Role.PRIMARY);
        assertThat(cluster.gateways.get(0).trustIn(NOW + 180_000 * MS, 1)).isGreaterThan(0.9);
    }

    @Test
    void aRoleReportedByAHalfTrustedPeerCountsAsOlder() {
        GatewayCluster cluster = new GatewayCluster(3);
        cluster.deliver(NOW, 0, 1, datagram(NOW, SERVER, role(Role.PRIMARY, NOW)));
        cluster.gateways.get(0).onRoleVerified(NOW, SERVER, false);
        ServerObservation observation = cluster.deliver(
                        NOW + MS, 0, 1, datagram(NOW + MS, SERVER, role(Role.PRIMARY, NOW)))
                .observations()
                .get(SERVER);
        assertThat(observation.roleAt()).isBetween(NOW - 520 * MS, NOW - 480 * MS);
    }

    @Test
    void aPeerThatShutDownIsNotSelectedUntilItSendsAgain() {
        GatewayCluster cluster = new GatewayCluster(2);
        cluster.knownObservations.get(1).put(SERVER, role(Role.PRIMARY, NOW));
        cluster.deliverAll(NOW, 1, cluster.gateways.get(1).leave(NOW), 0, new SplittableRandom(1));
        // The last snapshot of the peer is used although the peer has shut down.
        assertThat(cluster.knownObservations.get(0).get(SERVER).role()).isEqualTo(Role.PRIMARY);
        cluster.observe(NOW, 0, OTHER_SERVER, role(Role.PRIMARY, NOW));
        assertThat(cluster.gateways.get(0).due(NOW + MS)).isEmpty();
        cluster.deliver(
                NOW + 2500 * MS,
                0,
                1,
                DatagramCodec.encode(new Datagram(Datagram.Kind.SNAPSHOT_REQUEST, NOW + 2500 * MS, Map.of())));
        assertThat(cluster.gateways.get(0).due(NOW + 2500 * MS))
                .extracting(OutboundPacket::peer)
                .containsExactly(1);
    }

    @Test
    void theNumberOfSnapshotsForManyPeersThatStartAtOnceIsBounded() {
        GatewayCluster cluster = new GatewayCluster(300);
        cluster.knownObservations.get(0).put(SERVER, role(Role.PRIMARY, NOW));
        byte[] request = DatagramCodec.encode(new Datagram(Datagram.Kind.SNAPSHOT_REQUEST, NOW, Map.of()));
        int answers = 0;
        for (int i = 1; i < 300; i++) {
            answers += cluster.deliver(NOW, 0, i, request).replies().size();
        }
        assertThat(answers).isEqualTo(8);
        assertThat(cluster.deliver(NOW + 250 * MS, 0, 1, request).replies()).hasSize(1);
    }

    @Test
    void changesBeyondTheSendBudgetAreDelayed() {
        GatewayCluster cluster = new GatewayCluster(300);
        GossipProtocol protocol = cluster.gateways.get(0);
        protocol.start(NOW - 10_000 * MS);
        protocol.due(NOW - 9_999 * MS);
        int sent = 0;
        for (int i = 0; i < 40; i++) { // a server whose role changes all the time
            Role role = i % 2 == 0 ? Role.PRIMARY : Role.REPLICA;
            cluster.observe(NOW + i * MS, 0, SERVER, role(role, NOW + i * MS));
            sent += protocol.due(NOW + i * MS).stream()
                    .mapToInt(packet -> packet.bytes().length)
                    .sum();
        }
        assertThat(sent).isBetween(1, 1100);
        for (int i = 0; i < 20; i++) {
            protocol.onRequest();
        }
        assertThat(protocol.due(NOW + 500 * MS)).isNotEmpty();
    }

    @Test
    void rejectionsAreCountedAndLoggedAtIntervals() {
        GatewayCluster cluster = new GatewayCluster(3);
        assertThat(cluster.deliver(NOW, 0, 1, new byte[] {1}).logLine()).contains("1 TOO_SHORT", "instance 1");
        for (int i = 0; i < 5; i++) {
            assertThat(cluster.deliver(NOW, 0, 7, new byte[0]).logLine()).isNull(); // no gateway has this number
        }
        assertThat(cluster.deliver(NOW + 10_000 * MS, 0, 1, new byte[300]).logLine())
                .contains("5 STRANGER", "1 TOO_LONG");
    }
}
