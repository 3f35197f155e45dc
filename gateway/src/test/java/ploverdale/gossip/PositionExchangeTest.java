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

/** Positions that few hear get round to all. */
class PositionExchangeTest {
    private static final ServerId R = new ServerId("r");
    private static final long MS = 10;

    private record Way(int from, OutboundPacket letter) {}

    private final Map<Integer, Map<ServerId, ServerObservation>> known = new HashMap<>();
    private final List<GossipProtocol> all = new ArrayList<>();
    private int letters;
    private int bytes;

    private void tier(int instances, double requestsPerSecond) {
        for (int i = 0; i < instances; i++) {
            Map<ServerId, ServerObservation> mine = new HashMap<>();
            known.put(i, mine);
            GossipProtocol h = new GossipProtocol(
                    i,
                    instances,
                    requestsPerSecond,
                    500 * MS,
                    new SplittableRandom(i),
                    id -> mine.getOrDefault(id, ServerObservation.NONE));
            h.listed(R);
            all.add(h);
        }
    }

    private static ServerObservation place(long now, long position) {
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

    private void pass(long from, long until, Set<Integer> dead) {
        for (long now = from; now < until; now += 20 * MS) {
            Deque<Way> ways = new ArrayDeque<>();
            for (int i = 0; i < all.size(); i++) {
                int me = i;
                if (!dead.contains(i)) {
                    all.get(i).due(now).forEach(l -> ways.add(new Way(me, l)));
                }
            }
            while (!ways.isEmpty()) {
                Way w = ways.poll();
                letters++;
                bytes += w.letter().bytes().length;
                if (!dead.contains(w.letter().peer())) {
                    GossipProtocol.ReceivedGossip h = all.get(w.letter().peer())
                            .hears(now, w.from(), w.letter().bytes());
                    h.words().forEach((id, x) -> known.get(w.letter().peer()).merge(id, x, ServerObservation::join));
                    h.letters().forEach(l -> ways.add(new Way(w.letter().peer(), l)));
                }
            }
        }
    }

    private void hears(int instance, long now) {
        known.get(instance).merge(R, place(now, now - 3 * MS), ServerObservation::join);
        all.get(instance).placed(now, R);
    }

    private long knowing(long position) {
        return known.values().stream()
                .filter(m -> m.getOrDefault(R, ServerObservation.NONE).position() >= position)
                .count();
    }

    @Test
    void whatOneHearsAllKnowSoonForAFewBytesEach() {
        tier(260, 1);
        hears(7, NOW);
        pass(NOW, NOW + 300 * MS, Set.of());
        assertThat(knowing(NOW - 4 * MS)).isEqualTo(260);
        assertThat(letters).isLessThan(2 * 260 + 10);
        assertThat(bytes / 260).isLessThan(2 * 20);
    }

    @Test
    void noWordOnItsWayIsFresherThanAtItsSource() {
        tier(260, 1);
        hears(7, NOW);
        pass(NOW, NOW + 1000 * MS, Set.of());
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
    void aCollectorThatIsDeadCostsItsTurnOnly() {
        tier(20, 1);
        Set<Integer> dead = new HashSet<>(Set.of(new PositionExchange(0, 20).collector(NOW)));
        long next = NOW;
        while (dead.contains(new PositionExchange(0, 20).collector(next))) {
            next += 100 * MS;
        }
        int talker = dead.contains(3) ? 4 : 3;
        for (long now = NOW; now < next + 500 * MS; now += 100 * MS) {
            hears(talker, now);
            pass(now, now + 100 * MS, dead);
        }
        assertThat(knowing(next)).isGreaterThanOrEqualTo(19);
        assertThat(next - NOW).isLessThanOrEqualTo(6000 * MS);
    }

    @Test
    void turnsGoToAllInTime() {
        Set<Integer> had = new HashSet<>();
        for (int turn = 0; turn < 400; turn++) {
            had.add(new PositionExchange(0, 20).collector(NOW + turn * 2000 * MS));
        }
        assertThat(had).hasSize(20);
    }

    @Test
    void whereEachHearsEnoughByItselfNothingIsSent() {
        tier(3, 900);
        hears(1, NOW);
        pass(NOW, NOW + 3000 * MS, Set.of());
        assertThat(letters).isZero();
    }
}
