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

/** Positions that few gateways observe reach all. */
class PositionExchangeTest {
    private static final ServerId R = new ServerId("r");
    private static final long MS = 10;

    private record Delivery(int from, OutboundPacket packet) {}

    private final Map<Integer, Map<ServerId, ServerObservation>> known = new HashMap<>();
    private final List<GossipProtocol> all = new ArrayList<>();
    private int packets;
    private int bytes;

    private void startGateways(int instances, double requestsPerSecond) {
        for (int i = 0; i < instances; i++) {
            Map<ServerId, ServerObservation> mine = new HashMap<>();
            known.put(i, mine);
            GossipProtocol protocol = new GossipProtocol(
                    i,
                    instances,
                    requestsPerSecond,
                    500 * MS,
                    new SplittableRandom(i),
                    id -> mine.getOrDefault(id, ServerObservation.NONE));
            protocol.addServer(R);
            all.add(protocol);
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
            Deque<Delivery> underway = new ArrayDeque<>();
            for (int i = 0; i < all.size(); i++) {
                int me = i;
                if (!dead.contains(i)) {
                    all.get(i).due(now).forEach(l -> underway.add(new Delivery(me, l)));
                }
            }
            while (!underway.isEmpty()) {
                Delivery delivery = underway.poll();
                packets++;
                bytes += delivery.packet().bytes().length;
                if (!dead.contains(delivery.packet().peer())) {
                    GossipProtocol.ReceivedGossip received = all.get(
                                    delivery.packet().peer())
                            .onDatagram(now, delivery.from(), delivery.packet().bytes());
                    received.observations()
                            .forEach((id, x) ->
                                    known.get(delivery.packet().peer()).merge(id, x, ServerObservation::join));
                    received.replies()
                            .forEach(l ->
                                    underway.add(new Delivery(delivery.packet().peer(), l)));
                }
            }
        }
    }

    private void observe(int instance, long now) {
        known.get(instance).merge(R, observation(now, now - 3 * MS), ServerObservation::join);
        all.get(instance).onPositionObserved(now, R);
    }

    private long knowing(long position) {
        return known.values().stream()
                .filter(m -> m.getOrDefault(R, ServerObservation.NONE).position() >= position)
                .count();
    }

    @Test
    void aPositionReachesAllGatewaysSoonForAFewBytesEach() {
        startGateways(260, 1);
        observe(7, NOW);
        run(NOW, NOW + 300 * MS, Set.of());
        assertThat(knowing(NOW - 4 * MS)).isEqualTo(260);
        assertThat(packets).isLessThan(2 * 260 + 10);
        assertThat(bytes / 260).isLessThan(2 * 20);
    }

    @Test
    void noRelayedPositionIsFresherThanAtItsSource() {
        startGateways(260, 1);
        observe(7, NOW);
        run(NOW, NOW + 1000 * MS, Set.of());
        known.forEach((i, m) -> {
            if (i != 7) {
                assertThat(m.getOrDefault(R, ServerObservation.NONE).position()).isLessThanOrEqualTo(NOW - 3 * MS);
                assertThat(m.getOrDefault(R, ServerObservation.NONE).positionAt())
                        .isLessThanOrEqualTo(NOW);
                assertThat(m.getOrDefault(R, ServerObservation.NONE).aliveAt()).isLessThanOrEqualTo(NOW);
            }
        });
    }

    @Test
    void aDeadCollectorCostsItsTermOnly() {
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
        assertThat(knowing(next)).isGreaterThanOrEqualTo(19);
        assertThat(next - NOW).isLessThanOrEqualTo(6000 * MS);
    }

    @Test
    void eachGatewayBecomesTheCollectorInTime() {
        Set<Integer> collectors = new HashSet<>();
        for (int term = 0; term < 400; term++) {
            collectors.add(new PositionExchange(0, 20).collector(NOW + term * 2000 * MS));
        }
        assertThat(collectors).hasSize(20);
    }

    @Test
    void nothingIsSentWhereEachGatewayObservesEnoughItself() {
        startGateways(3, 900);
        observe(1, NOW);
        run(NOW, NOW + 3000 * MS, Set.of());
        assertThat(packets).isZero();
    }
}
