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

/** What gateways make of one another's datagrams, which the test delivers itself. */
class GossipProtocolTest {
    private static final ServerId P = new ServerId("p");
    private static final ServerId R = new ServerId("r");
    private static final long MS = 10;

    /** Gateways with what each knows; each merges what it accepts, as the router does. */
    private static final class Group {
        private final List<GossipProtocol> all = new ArrayList<>();
        private final List<Map<ServerId, ServerObservation>> known = new ArrayList<>();
        private int packets;
        private int bytes;

        private Group(int instances) {
            for (int i = 0; i < instances; i++) {
                Map<ServerId, ServerObservation> mine = new HashMap<>();
                GossipProtocol protocol = new GossipProtocol(
                        i,
                        instances,
                        1e9,
                        5000,
                        new SplittableRandom(i),
                        id -> mine.getOrDefault(id, ServerObservation.NONE));
                protocol.addServer(P);
                protocol.addServer(R);
                all.add(protocol);
                known.add(mine);
            }
        }

        private ReceivedGossip deliver(long now, int at, int from, byte[] bytes) {
            ReceivedGossip received = all.get(at).onDatagram(now, from, bytes);
            received.observations()
                    .forEach((id, observation) -> known.get(at).merge(id, observation, ServerObservation::join));
            return received;
        }

        private void deliverAll(long now, int from, List<OutboundPacket> out, double loss, SplittableRandom random) {
            for (OutboundPacket packet : out) {
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
                for (int i = 0; i < all.size(); i++) {
                    deliverAll(now, i, all.get(i).due(now), loss, random);
                }
            }
        }

        private void observe(long now, int at, ServerId id, ServerObservation observation) {
            known.get(at).merge(id, observation, ServerObservation::join);
            all.get(at).onObservationChanged(now, id);
        }

        private long knowing(ServerId id, Role role) {
            return known.stream()
                    .filter(m -> m.getOrDefault(id, ServerObservation.NONE).role() == role)
                    .count();
        }
    }

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
    void aGatewayThatStartsRequestsSnapshotsAndLearnsRoles() {
        Group group = new Group(3);
        group.known.get(1).put(P, role(Role.PRIMARY, NOW - 100 * MS));
        group.known.get(2).put(R, role(Role.REPLICA, NOW - 100 * MS));
        group.all.get(0).start(NOW);
        group.run(NOW, NOW + 20 * MS, 0);
        assertThat(group.known.get(0).get(P).role()).isEqualTo(Role.PRIMARY);
        assertThat(group.known.get(0).get(R).role()).isEqualTo(Role.REPLICA);
        assertThat(group.known.get(0).get(P).roleAt()).isLessThanOrEqualTo(NOW - 100 * MS);
    }

    @Test
    void lostSnapshotRequestsAreRepeatedABoundedNumberOfTimes() {
        Group group = new Group(3);
        group.all.get(0).start(NOW);
        group.run(NOW, NOW + 10_000 * MS, 1);
        assertThat(group.packets).isEqualTo(8);
    }

    @Test
    void aChangeReachesNearlyAllGatewaysByAFewPacketsEach() {
        Group group = new Group(260);
        group.observe(NOW, 0, P, role(Role.PRIMARY, NOW));
        group.run(NOW, NOW + 1000 * MS, 0.1);
        assertThat(group.knowing(P, Role.PRIMARY)).isGreaterThan(250);
        assertThat(group.packets).isLessThan(260 * 6 + 1);
        int before = group.packets;
        group.run(NOW + 1000 * MS, NOW + 5000 * MS, 0.1);
        assertThat(group.packets).isEqualTo(before); // the rumor has ended
    }

    @Test
    void anOlderObservationNeverReplacesANewerOne() {
        Group group = new Group(3);
        group.deliver(NOW, 0, 1, datagram(NOW, P, role(Role.REPLICA, NOW - 10 * MS)));
        group.deliver(NOW, 0, 2, datagram(NOW, P, role(Role.PRIMARY, NOW - 500 * MS)));
        assertThat(group.known.get(0).get(P).role()).isEqualTo(Role.REPLICA);
    }

    @Test
    void outdatedObservationsAndLateDatagramsAreIgnored() {
        Group group = new Group(3);
        group.deliver(NOW, 0, 1, datagram(NOW, P, role(Role.PRIMARY, NOW - 31_000 * MS)));
        assertThat(group.known.get(0).get(P).role()).isEqualTo(Role.UNKNOWN);
        ReceivedGossip late =
                group.deliver(NOW, 0, 1, datagram(NOW - 3000 * MS, P, role(Role.PRIMARY, NOW - 3000 * MS)));
        assertThat(late.observations()).isEmpty();
        assertThat(late.logLine()).contains("1 LATE");
    }

    @Test
    void aClockThatRunsAheadMakesNothingNewerThanNow() {
        Group group = new Group(3);
        group.deliver(NOW, 0, 1, datagram(NOW + 400 * MS, P, role(Role.PRIMARY, NOW + 400 * MS)));
        assertThat(group.known.get(0).get(P).roleAt()).isLessThanOrEqualTo(NOW);
        assertThat(group.deliver(NOW, 0, 1, datagram(NOW + 600 * MS, P, role(Role.PRIMARY, NOW)))
                        .logLine())
                .contains("OF_THE_FUTURE");
    }

    @Test
    void observationsOfUnlistedServersAreIgnored() {
        Group group = new Group(2);
        assertThat(group.deliver(NOW, 0, 1, datagram(NOW, new ServerId("unknown"), role(Role.PRIMARY, NOW)))
                        .observations())
                .isEmpty();
    }

    @Test
    void aPeerWithWrongRolesIsTrustedLessAndRecovers() {
        Group group = new Group(3);
        for (int i = 0; i < 3; i++) {
            long at = NOW + i * 1000 * MS;
            group.deliver(at, 0, 1, datagram(at, P, role(Role.PRIMARY, at)));
            group.all.get(0).onRoleVerified(at, P, false);
        }
        long now = NOW + 3000 * MS;
        assertThat(group.all.get(0).trustIn(now, 1)).isLessThan(0.2);
        byte[] datagram = datagram(now, P, role(Role.PRIMARY, now));
        assertThat(group.deliver(now, 0, 1, datagram).observations().get(P).role())
                .isEqualTo(Role.UNKNOWN);
        assertThat(group.deliver(now, 0, 2, datagram).observations().get(P).role())
                .isEqualTo(Role.PRIMARY);
        assertThat(group.all.get(0).trustIn(NOW + 180_000 * MS, 1)).isGreaterThan(0.9);
    }

    @Test
    void aRoleOfAHalfTrustedPeerCountsAsOlder() {
        Group group = new Group(3);
        group.deliver(NOW, 0, 1, datagram(NOW, P, role(Role.PRIMARY, NOW)));
        group.all.get(0).onRoleVerified(NOW, P, false);
        ServerObservation observation = group.deliver(NOW + MS, 0, 1, datagram(NOW + MS, P, role(Role.PRIMARY, NOW)))
                .observations()
                .get(P);
        assertThat(observation.roleAt()).isBetween(NOW - 520 * MS, NOW - 480 * MS);
    }

    @Test
    void aPeerThatLeftIsNotChosenUntilItIsBack() {
        Group group = new Group(2);
        group.known.get(1).put(P, role(Role.PRIMARY, NOW));
        group.deliverAll(NOW, 1, group.all.get(1).leave(NOW), 0, new SplittableRandom(1));
        assertThat(group.known.get(0).get(P).role()).isEqualTo(Role.PRIMARY); // what it knew stays
        group.observe(NOW, 0, R, role(Role.PRIMARY, NOW));
        assertThat(group.all.get(0).due(NOW + MS)).isEmpty();
        group.deliver(
                NOW + 2500 * MS,
                0,
                1,
                DatagramCodec.encode(new Datagram(Datagram.Kind.SNAPSHOT_REQUEST, NOW + 2500 * MS, Map.of())));
        assertThat(group.all.get(0).due(NOW + 2500 * MS))
                .extracting(OutboundPacket::peer)
                .containsExactly(1);
    }

    @Test
    void snapshotsForManyThatStartAtOnceAreBounded() {
        Group group = new Group(300);
        group.known.get(0).put(P, role(Role.PRIMARY, NOW));
        byte[] request = DatagramCodec.encode(new Datagram(Datagram.Kind.SNAPSHOT_REQUEST, NOW, Map.of()));
        int answers = 0;
        for (int i = 1; i < 300; i++) {
            answers += group.deliver(NOW, 0, i, request).replies().size();
        }
        assertThat(answers).isEqualTo(8);
        assertThat(group.deliver(NOW + 250 * MS, 0, 1, request).replies()).hasSize(1);
    }

    @Test
    void changesBeyondTheBudgetWait() {
        Group group = new Group(300);
        GossipProtocol protocol = group.all.get(0);
        protocol.start(NOW - 10_000 * MS);
        protocol.due(NOW - 9_999 * MS);
        int sent = 0;
        for (int i = 0; i < 40; i++) { // a server that comes and goes
            Role role = i % 2 == 0 ? Role.PRIMARY : Role.REPLICA;
            group.observe(NOW + i * MS, 0, P, role(role, NOW + i * MS));
            sent += protocol.due(NOW + i * MS).stream()
                    .mapToInt(l -> l.bytes().length)
                    .sum();
        }
        assertThat(sent).isBetween(1, 1100);
        for (int i = 0; i < 20; i++) {
            protocol.onRequest();
        }
        assertThat(protocol.due(NOW + 500 * MS)).isNotEmpty();
    }

    @Test
    void rejectionsAreLoggedFromTimeToTime() {
        Group group = new Group(3);
        assertThat(group.deliver(NOW, 0, 1, new byte[] {1}).logLine()).contains("1 TOO_SHORT", "instance 1");
        for (int i = 0; i < 5; i++) {
            assertThat(group.deliver(NOW, 0, 7, new byte[0]).logLine()).isNull(); // no instance has this number
        }
        assertThat(group.deliver(NOW + 10_000 * MS, 0, 1, new byte[300]).logLine())
                .contains("5 STRANGER", "1 TOO_LONG");
    }
}
