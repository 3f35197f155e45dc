package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ploverdale.gossip.Datagram;
import ploverdale.gossip.Datagram.Kind;
import ploverdale.gossip.DatagramCodec;
import ploverdale.gossip.ServerHash;
import ploverdale.gossip.ServerObservation;
import ploverdale.model.Action;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;

/** What the module makes of words of other gateways. */
class GossipInRouterTest {
    private final RouterDriver host = RouterDriver.talking(3);

    private ServerObservation word(Role role, long roleMs, long positionMs, long aliveMs, long silentMs) {
        return new ServerObservation(
                role,
                at(roleMs),
                at(positionMs),
                at(positionMs),
                at(aliveMs),
                at(silentMs),
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME);
    }

    private static long at(long ms) {
        return ms < 0 ? LoadReport.UNKNOWN_TIME : ms * 10;
    }

    private void told(int from, String server, ServerObservation w) {
        host.tell(new Event.GossipReceived(
                from,
                DatagramCodec.encode(new Datagram(
                        Kind.OBSERVATIONS, host.nowMs * 10, Map.of(ServerHash.of(new ServerId(server)), w)))));
    }

    private List<Action.SendGossip> tells() {
        return host.acts.stream()
                .filter(a -> a instanceof Action.SendGossip)
                .map(a -> (Action.SendGossip) a)
                .toList();
    }

    @Test
    void aNewPrimaryIsKnownFromOthersAndOldWordsDoNotOverturnIt() {
        host.list(true, "p", "r1", "r2");
        host.levelled("p", "r1", "r2");
        host.nowMs += 100;
        told(1, "r1", word(Role.PRIMARY, host.nowMs - 20, host.nowMs - 20, host.nowMs - 20, -1));
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).containsExactly("r1");
        told(2, "p", word(Role.PRIMARY, host.nowMs - 500, -1, -1, -1));
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).containsExactly("r1");
    }

    @Test
    void aPrimaryThatOnlyOthersHaveHeardIsAskedBeforeItGetsAWrite() {
        host.list(true, "p", "r1", "r2"); // nothing heard yet; others do not know that p has just gone silent
        told(1, "p", word(Role.PRIMARY, host.nowMs - 100, host.nowMs - 100, host.nowMs - 100, -1));
        RequestId request = host.ask(RouterDriver.SUBMIT);
        assertThat(host.sends(request)).isEmpty();
        assertThat(host.probes("p")).isPositive();
        host.probed("p", Role.PRIMARY, host.nowMs);
        assertThat(host.sends(request)).containsExactly("p");
    }

    @Test
    void aReadThatOnlyAPrimaryNamedByOthersCouldTakeWaitsForItsWord() {
        RouterDriver many = RouterDriver.talking(300); // each probes few servers at its start, and p is not among them
        many.list(true, "p", "r1", "r2");
        assertThat(many.probes("p")).isZero();
        many.probed("r1", Role.REPLICA, many.nowMs);
        many.tell(new Event.GossipReceived(
                1,
                DatagramCodec.encode(new Datagram(
                        Kind.OBSERVATIONS,
                        many.nowMs * 10,
                        Map.of(
                                ServerHash.of(new ServerId("p")),
                                word(Role.PRIMARY, many.nowMs, many.nowMs, many.nowMs, -1))))));
        many.nowMs += 1200; // r1 is too old by now
        many.probed("r1", Role.REPLICA, many.nowMs - 1200);
        RequestId request = many.ask(RouterDriver.VIEW);
        assertThat(many.busyReplies(request)).isZero();
        many.probed("p", Role.PRIMARY, many.nowMs);
        assertThat(many.sends(request)).containsExactly("p");
    }

    private Event.GossipReceived heardByOthers(RouterDriver h, String server, Role role) {
        return new Event.GossipReceived(
                1,
                DatagramCodec.encode(new Datagram(
                        Kind.OBSERVATIONS,
                        h.nowMs * 10,
                        Map.of(ServerHash.of(new ServerId(server)), word(role, h.nowMs, h.nowMs, h.nowMs, -1)))));
    }

    @Test
    void aSlowServerThatOthersHearIsAskedAndNotTakenForDead() {
        RouterDriver many = RouterDriver.talking(300);
        many.list(true, "p", "r1", "r2");
        many.levelled("p", "r1", "r2");
        assertThat(many.sends(many.ask(RouterDriver.SUBMIT))).containsExactly("p");
        long before = many.probes("p");
        for (int i = 0; i < 15; i++) {
            many.pass(100); // in all, fifteen times what an answer usually takes
            many.tell(heardByOthers(many, "p", Role.PRIMARY));
        }
        assertThat(many.logged("silent")).isFalse();
        assertThat(many.probes("p")).isGreaterThan(before);
    }

    @Test
    void aServerThatOthersHeardMeanwhileIsNotColdWhenItReturnsHere() {
        host.list(true, "p", "r1");
        host.levelled("p", "r1");
        host.pass(500);
        host.unanswered("r1");
        host.unanswered("r1");
        assertThat(host.logged("r1 silent")).isTrue();
        for (int i = 0; i < 25; i++) {
            host.pass(100);
            host.tell(heardByOthers(host, "r1", Role.REPLICA));
        }
        host.levelled("p", "r1");
        assertThat(host.logged("r1 returns")).isTrue();
        int r1 = 0;
        for (int i = 0; i < 20; i++) {
            RequestId request = host.ask(RouterDriver.HISTORY);
            String to = host.sends(request).get(0);
            r1 += to.equals("r1") ? 1 : 0;
            host.ends(request, 0, to, Outcome.SUCCEEDED, null);
        }
        assertThat(r1).isEqualTo(20); // the only replica
    }

    @Test
    void aPositionFromOthersAdmitsAReplicaWhileItIsFreshEnough() {
        host.list(true, "p", "r1");
        host.levelled("p", "r1");
        host.nowMs += 600;
        told(2, "r1", word(Role.REPLICA, host.nowMs - 50, host.nowMs - 50, host.nowMs - 50, -1));
        assertThat(host.sends(host.ask(RouterDriver.VIEW))).containsExactly("r1");
        host.nowMs += 455; // half a second after that position
        assertThat(host.sends(host.ask(RouterDriver.VIEW))).doesNotContain("r1");
    }

    @Test
    void aServerFoundSilentElsewhereIsAskedFirst() {
        host.list(true, "p", "r1", "r2");
        host.levelled("p", "r1", "r2");
        host.nowMs += 50;
        told(1, "p", word(Role.PRIMARY, host.nowMs - 40, -1, -1, host.nowMs - 10));
        RequestId request = host.ask(RouterDriver.SUBMIT);
        assertThat(host.sends(request)).isEmpty();
        host.probed("p", Role.PRIMARY, host.nowMs);
        assertThat(host.sends(request)).containsExactly("p");
    }

    @Test
    void aDrainHeardBindsAtOnceAndAnOlderListDoesNotUndoIt() {
        host.list(true, "p", "r1", "r2");
        host.levelled("p", "r1", "r2");
        ServerObservation drains = new ServerObservation(
                Role.UNKNOWN,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                host.nowMs * 10 - 100);
        told(1, "r1", drains);
        host.list(true, "p", "r1", "r2");
        for (int i = 0; i < 5; i++) {
            assertThat(host.sends(host.ask(RouterDriver.VIEW))).containsExactly("r2");
        }
        told(2, "r1", word(Role.REPLICA, host.nowMs, host.nowMs, host.nowMs, -1)); // another that does not know of it
        assertThat(host.sends(host.ask(RouterDriver.VIEW))).containsExactly("r2");
    }

    @Test
    void aDrainThatNoListConfirmsLapses() {
        host.list(true, "p", "r1");
        host.levelled("p", "r1");
        told(
                1,
                "r1",
                new ServerObservation(
                        Role.UNKNOWN,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        host.nowMs * 10));
        host.pass(10_500);
        host.levelled("p", "r1");
        assertThat(host.sends(host.ask(RouterDriver.VIEW))).containsExactly("r1");
    }

    @Test
    void coldHeardIsCold() {
        host.list(true, "p", "r1", "r2");
        host.levelled("p", "r1", "r2");
        told(
                1,
                "r1",
                new ServerObservation(
                        Role.UNKNOWN,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        host.nowMs * 10 - 100,
                        LoadReport.UNKNOWN_TIME));
        int cold = 0;
        for (int i = 0; i < 20; i++) {
            cold += host.sends(host.ask(RouterDriver.VIEW)).contains("r1") ? 1 : 0;
        }
        assertThat(cold).isLessThan(8); // of 20, where a warm one takes half
    }

    @Test
    void aServerOnlyOthersNameIsNeverSentTo() {
        host.list(true, "p");
        host.levelled("p");
        told(1, "ghost", word(Role.REPLICA, host.nowMs, host.nowMs, host.nowMs, -1));
        told(1, "ghost2", word(Role.PRIMARY, host.nowMs, host.nowMs, host.nowMs, -1));
        assertThat(host.sends(host.ask(RouterDriver.VIEW))).containsExactly("p");
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).containsExactly("p");
        assertThat(host.probes("ghost")).isZero();
    }

    @Test
    void whoSaidWrongWhoLeadsIsBelievedLessNextTime() {
        host.list(true, "p", "r1", "r2");
        host.levelled("p", "r1", "r2");
        host.nowMs += 100;
        told(1, "r1", word(Role.PRIMARY, host.nowMs - 1, -1, -1, -1));
        RequestId request = host.ask(RouterDriver.SUBMIT);
        assertThat(host.sends(request)).startsWith("r1");
        host.ends(request, 0, "r1", Outcome.MISDIRECTED, new LoadReport(Role.REPLICA, host.nowMs * 10));
        host.nowMs += 1000;
        host.levelled("p", "r1", "r2");
        host.nowMs += 100;
        told(1, "r1", word(Role.PRIMARY, host.nowMs - 1, -1, -1, -1));
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).containsExactly("p");
    }

    @Test
    void aGatewayAsksAtItsStartAndAnswersThoseThatStart() {
        host.list(true, "p", "r1");
        host.pass(20);
        assertThat(tells())
                .hasSize(2)
                .allMatch(t -> DatagramCodec.decode(t.bytes()).datagram().kind() == Kind.SNAPSHOT_REQUEST);
        host.levelled("p", "r1");
        host.acts.clear();
        host.tell(new Event.GossipReceived(
                2, DatagramCodec.encode(new Datagram(Kind.SNAPSHOT_REQUEST, host.nowMs * 10, Map.of()))));
        assertThat(tells()).hasSize(1);
        Map<Integer, ServerObservation> words =
                DatagramCodec.decode(tells().get(0).bytes()).datagram().observations();
        assertThat(words.get(ServerHash.of(new ServerId("p"))).role()).isEqualTo(Role.PRIMARY);
        assertThat(words.get(ServerHash.of(new ServerId("r1"))).role()).isEqualTo(Role.REPLICA);
    }

    @Test
    void aSilentServerIsToldToOthersAndOneThatLeavesTellsWhatItKnows() {
        host.list(true, "p", "r1");
        host.levelled("p", "r1");
        host.pass(100);
        host.acts.clear();
        host.unanswered("r1");
        host.unanswered("r1");
        host.pass(600);
        host.unanswered("r1");
        host.pass(100);
        assertThat(tells())
                .anyMatch(t -> DatagramCodec.decode(t.bytes())
                        .datagram()
                        .observations()
                        .getOrDefault(ServerHash.of(new ServerId("r1")), ServerObservation.NONE)
                        .silent());
        host.acts.clear();
        host.tell(new Event.ShutdownBegun());
        assertThat(tells())
                .hasSize(2)
                .allMatch(t -> DatagramCodec.decode(t.bytes()).datagram().kind() == Kind.LEAVE);
    }

    @Test
    void aServerReplacedUnderANewIdInheritsNothing() {
        host.list(true, "p", "r1");
        host.levelled("p", "r1");
        host.list(true, "p", "r9"); // r1 is gone, r9 in its place
        host.nowMs += 10;
        told(1, "r1", word(Role.PRIMARY, host.nowMs, host.nowMs, host.nowMs, -1));
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).containsExactly("p");
        assertThat(host.sends(host.ask(RouterDriver.VIEW))).containsExactly("p");
    }

    @Test
    void whereWordsAreNotAllowedNoneAreSentOrHeard() {
        RouterDriver quiet = new RouterDriver();
        quiet.list(true, "p", "r1");
        quiet.levelled("p", "r1");
        int before = quiet.acts.size();
        quiet.tell(new Event.GossipReceived(
                1, DatagramCodec.encode(new Datagram(Kind.SNAPSHOT_REQUEST, quiet.nowMs * 10, Map.of()))));
        quiet.tell(new Event.ShutdownBegun());
        assertThat(quiet.acts).hasSize(before);
        quiet.pass(1000);
        assertThat(quiet.acts).noneMatch(a -> a instanceof Action.SendGossip);
    }
}
