package ploverdale.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static ploverdale.gossip.ServerObservationTest.NOW;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import ploverdale.gossip.GossipProtocol.OutboundPacket;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ServerId;

/** Positions that only a few gateways observe reach all gateways. */
class PositionExchangeTest {
    private static final ServerId SERVER = new ServerId("r");
    private static final long MS = 10;

    private record Delivery(int from, OutboundPacket packet) {}

    private final Map<Integer, Map<ServerId, ServerObservation>> observations = new HashMap<>();
    private final List<GossipProtocol> gateways = new ArrayList<>();
    private int packets;
    private int bytes;

    private void startGateways(int gatewayCount, double requestsPerSecond) {
        for (int i = 0; i < gatewayCount; i++) {
            Map<ServerId, ServerObservation> own = new HashMap<>();
            observations.put(i, own);
            GossipProtocol protocol = new GossipProtocol(
                    i,
                    gatewayCount,
                    requestsPerSecond,
                    500 * MS,
                    new SplittableRandom(i),
                    id -> own.getOrDefault(id, ServerObservation.NONE));
            protocol.addServer(SERVER);
            gateways.add(protocol);
        }
    }

    private static ServerObservation observation(long now, long position) {
        return new ServerObservation(
                Role.REPLICA,
                now,
                position,
                now,
                now,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME);
    }

    private void run(long from, long until, Set<Integer> dead) {
        for (long now = from; now < until; now += 20 * MS) {
            Deque<Delivery> inFlight = new ArrayDeque<>();
            for (int i = 0; i < gateways.size(); i++) {
                int sender = i;
                if (!dead.contains(i)) {
                    gateways.get(i).due(now).forEach(packet -> inFlight.add(new Delivery(sender, packet)));
                }
            }
            while (!inFlight.isEmpty()) {
                Delivery delivery = inFlight.poll();
                packets++;
                bytes += delivery.packet().bytes().length;
                if (!dead.contains(delivery.packet().peer())) {
                    GossipProtocol.ReceivedGossip received = gateways.get(
                                    delivery.packet().peer())
                            .onDatagram(now, delivery.from(), delivery.packet().bytes());
                    received.observations()
                            .forEach((id, accepted) -> observations
                                    .get(delivery.packet().peer())
                                    .merge(id, accepted, ServerObservation::join));
                    received.replies()
                            .forEach(packet ->
                                    inFlight.add(new Delivery(delivery.packet().peer(), packet)));
                }
            }
        }
    }

    private void observe(int gateway, long now) {
        observations.get(gateway).merge(SERVER, observation(now, now - 3 * MS), ServerObservation::join);
        gateways.get(gateway).onPositionObserved(now, SERVER);
    }

    private long countGatewaysWithPosition(long position) {
        return observations.values().stream()
                .filter(byServer ->
                        byServer.getOrDefault(SERVER, ServerObservation.NONE).position() >= position)
                .count();
    }

    @Test
    void aPositionReachesAllGatewaysWithin300MsWithAFewBytesEach() {
        startGateways(260, 1);
        observe(7, NOW);
        run(NOW, NOW + 300 * MS, Set.of());
        assertThat(countGatewaysWithPosition(NOW - 4 * MS)).isEqualTo(260);
        assertThat(packets).isLessThan(2 * 260 + 10);
        assertThat(bytes / 260).isLessThan(2 * 20);
    }

    @Test
    void noRelayedPositionIsNewerThanAtItsSource() {
        startGateways(260, 1);
        observe(7, NOW);
        run(NOW, NOW + 1000 * MS, Set.of());
        observations.forEach((i, byServer) -> {
            if (i != 7) {
                assertThat(byServer.getOrDefault(SERVER, ServerObservation.NONE).position())
                        .isLessThanOrEqualTo(NOW - 3 * MS);
                assertThat(byServer.getOrDefault(SERVER, ServerObservation.NONE).positionAt())
                        .isLessThanOrEqualTo(NOW);
                assertThat(byServer.getOrDefault(SERVER, ServerObservation.NONE).aliveAt())
                        .isLessThanOrEqualTo(NOW);
            }
        });
    }

    @Test
    void positionsReachAllGatewaysAfterTheTermOfADeadCollector() {
        startGateways(20, 1);
        Set<Integer> dead = new HashSet<>(Set.of(new PositionExchange(0, 20).collector(NOW)));
        long next = NOW;
        while (dead.contains(new PositionExchange(0, 20).collector(next))) {
            next += 100 * MS;
        }
        int observer = dead.contains(3) ? 4 : 3;
        for (long now = NOW; now < next + 500 * MS; now += 100 * MS) {
            observe(observer, now);
            run(now, now + 100 * MS, dead);
        }
        assertThat(countGatewaysWithPosition(next)).isGreaterThanOrEqualTo(19);
        assertThat(next - NOW).isLessThanOrEqualTo(6000 * MS);
    }

    @Test
    void eachGatewayIsTheCollectorInSomeTerm() {
        Set<Integer> collectors = new HashSet<>();
        for (int term = 0; term < 400; term++) {
            collectors.add(new PositionExchange(0, 20).collector(NOW + term * 2000 * MS));
        }
        assertThat(collectors).hasSize(20);
    }

    @Test
    void nothingIsSentIfEachGatewayObservesEnoughPositionsItself() {
        startGateways(3, 900);
        observe(1, NOW);
        run(NOW, NOW + 3000 * MS, Set.of());
        assertThat(packets).isZero();
    }
}
