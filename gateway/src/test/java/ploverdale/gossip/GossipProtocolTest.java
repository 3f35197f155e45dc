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

/** What instances make of one another's words, with their letters carried by hand. */
class GossipProtocolTest {
    private static final ServerId P = new ServerId("p");
    private static final ServerId R = new ServerId("r");
    private static final long MS = 10;

    /** Instances with what each knows; believes what it hears, as the module does. */
    private static final class Tier {
        private final List<GossipProtocol> all = new ArrayList<>();
        private final List<Map<ServerId, ServerObservation>> known = new ArrayList<>();
        private int letters;
        private int bytes;

        private Tier(int instances) {
            for (int i = 0; i < instances; i++) {
                Map<ServerId, ServerObservation> mine = new HashMap<>();
                GossipProtocol h = new GossipProtocol(
                        i,
                        instances,
                        1e9,
                        5000,
                        new SplittableRandom(i),
                        id -> mine.getOrDefault(id, ServerObservation.NONE));
                h.listed(P);
                h.listed(R);
                all.add(h);
                known.add(mine);
            }
        }

        private ReceivedGossip hear(long now, int at, int from, byte[] bytes) {
            ReceivedGossip h = all.get(at).hears(now, from, bytes);
            h.words().forEach((id, w) -> known.get(at).merge(id, w, ServerObservation::join));
            return h;
        }

        private void carry(long now, int from, List<OutboundPacket> out, double loss, SplittableRandom random) {
            for (OutboundPacket l : out) {
                letters++;
                bytes += l.bytes().length;
                if (random.nextDouble() >= loss) {
                    carry(now, l.peer(), hear(now, l.peer(), from, l.bytes()).letters(), loss, random);
                }
            }
        }

        private void pass(long from, long until, double loss) {
            SplittableRandom random = new SplittableRandom(3);
            for (long now = from; now < until; now += 20 * MS) {
                for (int i = 0; i < all.size(); i++) {
                    carry(now, i, all.get(i).due(now), loss, random);
                }
            }
        }

        private void learns(long now, int at, ServerId id, ServerObservation w) {
            known.get(at).merge(id, w, ServerObservation::join);
            all.get(at).learnt(now, id);
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

    private static byte[] told(long sentAt, ServerId id, ServerObservation w) {
        return DatagramCodec.encode(new Datagram(Datagram.Kind.OBSERVATIONS, sentAt, Map.of(ServerHash.of(id), w)));
    }

    @Test
    void aNewInstanceAsksAndLearnsWhoLeads() {
        Tier t = new Tier(3);
        t.known.get(1).put(P, role(Role.PRIMARY, NOW - 100 * MS));
        t.known.get(2).put(R, role(Role.REPLICA, NOW - 100 * MS));
        t.all.get(0).starts(NOW);
        t.pass(NOW, NOW + 20 * MS, 0);
        assertThat(t.known.get(0).get(P).role()).isEqualTo(Role.PRIMARY);
        assertThat(t.known.get(0).get(R).role()).isEqualTo(Role.REPLICA);
        assertThat(t.known.get(0).get(P).roleAt()).isLessThanOrEqualTo(NOW - 100 * MS);
    }

    @Test
    void whereLettersAreLostItAsksAgainAndThenNoMore() {
        Tier t = new Tier(3);
        t.all.get(0).starts(NOW);
        t.pass(NOW, NOW + 10_000 * MS, 1);
        assertThat(t.letters).isEqualTo(8);
    }

    @Test
    void aChangeReachesNearlyAllOfManyWithoutAnyoneTellingAll() {
        Tier t = new Tier(260);
        t.learns(NOW, 0, P, role(Role.PRIMARY, NOW));
        t.pass(NOW, NOW + 1000 * MS, 0.1);
        assertThat(t.knowing(P, Role.PRIMARY)).isGreaterThan(250);
        assertThat(t.letters).isLessThan(260 * 6 + 1);
        int before = t.letters;
        t.pass(NOW + 1000 * MS, NOW + 5000 * MS, 0.1);
        assertThat(t.letters).isEqualTo(before); // and then it is news no more
    }

    @Test
    void anOlderWordNeverOverturnsANewerOne() {
        Tier t = new Tier(3);
        t.hear(NOW, 0, 1, told(NOW, P, role(Role.REPLICA, NOW - 10 * MS)));
        t.hear(NOW, 0, 2, told(NOW, P, role(Role.PRIMARY, NOW - 500 * MS)));
        assertThat(t.known.get(0).get(P).role()).isEqualTo(Role.REPLICA);
    }

    @Test
    void aWordLongDeadIsNotHeard() {
        Tier t = new Tier(3);
        t.hear(NOW, 0, 1, told(NOW, P, role(Role.PRIMARY, NOW - 31_000 * MS)));
        assertThat(t.known.get(0).get(P).role()).isEqualTo(Role.UNKNOWN);
        ReceivedGossip late = t.hear(NOW, 0, 1, told(NOW - 3000 * MS, P, role(Role.PRIMARY, NOW - 3000 * MS)));
        assertThat(late.words()).isEmpty();
        assertThat(late.line()).contains("1 LATE");
    }

    @Test
    void aClockThatRunsAheadMakesNothingNewerThanNow() {
        Tier t = new Tier(3);
        t.hear(NOW, 0, 1, told(NOW + 400 * MS, P, role(Role.PRIMARY, NOW + 400 * MS)));
        assertThat(t.known.get(0).get(P).roleAt()).isLessThanOrEqualTo(NOW);
        assertThat(t.hear(NOW, 0, 1, told(NOW + 600 * MS, P, role(Role.PRIMARY, NOW)))
                        .line())
                .contains("OF_THE_FUTURE");
    }

    @Test
    void aServerThatOnlyOthersNameIsNotSpokenOf() {
        Tier t = new Tier(2);
        assertThat(t.hear(NOW, 0, 1, told(NOW, new ServerId("unknown"), role(Role.PRIMARY, NOW)))
                        .words())
                .isEmpty();
    }

    @Test
    void whoseWordWasWrongIsBelievedLessAndLaterAsBefore() {
        Tier t = new Tier(3);
        for (int i = 0; i < 3; i++) {
            long at = NOW + i * 1000 * MS;
            t.hear(at, 0, 1, told(at, P, role(Role.PRIMARY, at)));
            t.all.get(0).proved(at, P, false);
        }
        long now = NOW + 3000 * MS;
        assertThat(t.all.get(0).trustIn(now, 1)).isLessThan(0.2);
        byte[] word = told(now, P, role(Role.PRIMARY, now));
        assertThat(t.hear(now, 0, 1, word).words().get(P).role()).isEqualTo(Role.UNKNOWN);
        assertThat(t.hear(now, 0, 2, word).words().get(P).role()).isEqualTo(Role.PRIMARY);
        assertThat(t.all.get(0).trustIn(NOW + 180_000 * MS, 1)).isGreaterThan(0.9);
    }

    @Test
    void halfBelievedItCountsAsOlder() {
        Tier t = new Tier(3);
        t.hear(NOW, 0, 1, told(NOW, P, role(Role.PRIMARY, NOW)));
        t.all.get(0).proved(NOW, P, false);
        ServerObservation w = t.hear(NOW + MS, 0, 1, told(NOW + MS, P, role(Role.PRIMARY, NOW)))
                .words()
                .get(P);
        assertThat(w.roleAt()).isBetween(NOW - 520 * MS, NOW - 480 * MS);
    }

    @Test
    void whoeverLeavesIsNotToldAnyMoreUntilItIsBack() {
        Tier t = new Tier(2);
        t.known.get(1).put(P, role(Role.PRIMARY, NOW));
        t.carry(NOW, 1, t.all.get(1).leaves(NOW), 0, new SplittableRandom(1));
        assertThat(t.known.get(0).get(P).role()).isEqualTo(Role.PRIMARY); // what it knew stays
        t.learns(NOW, 0, R, role(Role.PRIMARY, NOW));
        assertThat(t.all.get(0).due(NOW + MS)).isEmpty();
        t.hear(
                NOW + 2500 * MS,
                0,
                1,
                DatagramCodec.encode(new Datagram(Datagram.Kind.SNAPSHOT_REQUEST, NOW + 2500 * MS, Map.of())));
        assertThat(t.all.get(0).due(NOW + 2500 * MS))
                .extracting(OutboundPacket::peer)
                .containsExactly(1);
    }

    @Test
    void answersToManyThatStartAtOnceAreBounded() {
        Tier t = new Tier(300);
        t.known.get(0).put(P, role(Role.PRIMARY, NOW));
        byte[] asks = DatagramCodec.encode(new Datagram(Datagram.Kind.SNAPSHOT_REQUEST, NOW, Map.of()));
        int answers = 0;
        for (int i = 1; i < 300; i++) {
            answers += t.hear(NOW, 0, i, asks).letters().size();
        }
        assertThat(answers).isEqualTo(8);
        assertThat(t.hear(NOW + 250 * MS, 0, 1, asks).letters()).hasSize(1);
    }

    @Test
    void wordsArePaidForAndThoseNotPaidWait() {
        Tier t = new Tier(300);
        GossipProtocol h = t.all.get(0);
        h.starts(NOW - 10_000 * MS);
        h.due(NOW - 9_999 * MS);
        int sent = 0;
        for (int i = 0; i < 40; i++) { // a server that comes and goes
            Role role = i % 2 == 0 ? Role.PRIMARY : Role.REPLICA;
            t.learns(NOW + i * MS, 0, P, role(role, NOW + i * MS));
            sent += h.due(NOW + i * MS).stream().mapToInt(l -> l.bytes().length).sum();
        }
        assertThat(sent).isBetween(1, 1100);
        for (int i = 0; i < 20; i++) {
            h.request();
        }
        assertThat(h.due(NOW + 500 * MS)).isNotEmpty();
    }

    @Test
    void whatIsNotReadIsToldOnceInAWhile() {
        Tier t = new Tier(3);
        assertThat(t.hear(NOW, 0, 1, new byte[] {1}).line()).contains("1 TOO_SHORT", "instance 1");
        for (int i = 0; i < 5; i++) {
            assertThat(t.hear(NOW, 0, 7, new byte[0]).line()).isNull(); // no instance has this number
        }
        assertThat(t.hear(NOW + 10_000 * MS, 0, 1, new byte[300]).line()).contains("5 STRANGER", "1 TOO_LONG");
    }
}
