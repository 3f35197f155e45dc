package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ploverdale.gossip.Datagram;
import ploverdale.gossip.Datagram.Kind;
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
    private final RouterDriver driver = RouterDriver.withGossip(3);

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
        driver.deliver(new Event.GossipReceived(
                from,
                new Datagram(Kind.TELLS, driver.nowMs * 10, Map.of(Datagram.number(new ServerId(server)), w)).bytes()));
    }

    private List<Action.SendGossip> tells() {
        return driver.actions.stream()
                .filter(a -> a instanceof Action.SendGossip)
                .map(a -> (Action.SendGossip) a)
                .toList();
    }

    @Test
    void aNewPrimaryIsKnownFromOthersAndOldWordsDoNotOverturnIt() {
        driver.updateEndpoints(true, "p", "r1", "r2");
        driver.catchUp("p", "r1", "r2");
        driver.nowMs += 100;
        told(1, "r1", word(Role.PRIMARY, driver.nowMs - 20, driver.nowMs - 20, driver.nowMs - 20, -1));
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE))).containsExactly("r1");
        told(2, "p", word(Role.PRIMARY, driver.nowMs - 500, -1, -1, -1));
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE))).containsExactly("r1");
    }

    @Test
    void aPrimaryThatOnlyOthersHaveHeardIsAskedBeforeItGetsAWrite() {
        driver.updateEndpoints(
                true, "p", "r1", "r2"); // nothing heard yet; others do not know that p has just gone silent
        told(1, "p", word(Role.PRIMARY, driver.nowMs - 100, driver.nowMs - 100, driver.nowMs - 100, -1));
        RequestId request = driver.request(TestRouterSettings.WRITE);
        assertThat(driver.attempts(request)).isEmpty();
        assertThat(driver.healthChecks("p")).isPositive();
        driver.healthCheckSucceeded("p", Role.PRIMARY, driver.nowMs);
        assertThat(driver.attempts(request)).containsExactly("p");
    }

    @Test
    void aReadThatOnlyAPrimaryNamedByOthersCouldTakeWaitsForItsWord() {
        RouterDriver many =
                RouterDriver.withGossip(300); // each probes few servers at its start, and p is not among them
        many.updateEndpoints(true, "p", "r1", "r2");
        assertThat(many.healthChecks("p")).isZero();
        many.healthCheckSucceeded("r1", Role.REPLICA, many.nowMs);
        many.deliver(new Event.GossipReceived(
                1,
                new Datagram(
                                Kind.TELLS,
                                many.nowMs * 10,
                                Map.of(
                                        Datagram.number(new ServerId("p")),
                                        word(Role.PRIMARY, many.nowMs, many.nowMs, many.nowMs, -1)))
                        .bytes()));
        many.nowMs += 1200; // r1 is too old by now
        many.healthCheckSucceeded("r1", Role.REPLICA, many.nowMs - 1200);
        RequestId request = many.request(TestRouterSettings.BOUNDED_READ);
        assertThat(many.rejections(request)).isZero();
        many.healthCheckSucceeded("p", Role.PRIMARY, many.nowMs);
        assertThat(many.attempts(request)).containsExactly("p");
    }

    private Event.GossipReceived heardByOthers(RouterDriver h, String server, Role role) {
        return new Event.GossipReceived(
                1,
                new Datagram(
                                Kind.TELLS,
                                h.nowMs * 10,
                                Map.of(
                                        Datagram.number(new ServerId(server)),
                                        word(role, h.nowMs, h.nowMs, h.nowMs, -1)))
                        .bytes());
    }

    @Test
    void aSlowServerThatOthersHearIsAskedAndNotTakenForDead() {
        RouterDriver many = RouterDriver.withGossip(300);
        many.updateEndpoints(true, "p", "r1", "r2");
        many.catchUp("p", "r1", "r2");
        assertThat(many.attempts(many.request(TestRouterSettings.WRITE))).containsExactly("p");
        long before = many.healthChecks("p");
        for (int i = 0; i < 15; i++) {
            many.advance(100); // in all, fifteen times what an answer usually takes
            many.deliver(heardByOthers(many, "p", Role.PRIMARY));
        }
        assertThat(many.logged("silent")).isFalse();
        assertThat(many.healthChecks("p")).isGreaterThan(before);
    }

    @Test
    void aServerThatOthersHeardMeanwhileIsNotColdWhenItReturnsHere() {
        driver.updateEndpoints(true, "p", "r1");
        driver.catchUp("p", "r1");
        driver.advance(500);
        driver.healthCheckTimedOut("r1");
        driver.healthCheckTimedOut("r1");
        assertThat(driver.logged("r1 silent")).isTrue();
        for (int i = 0; i < 25; i++) {
            driver.advance(100);
            driver.deliver(heardByOthers(driver, "r1", Role.REPLICA));
        }
        driver.catchUp("p", "r1");
        assertThat(driver.logged("r1 returns")).isTrue();
        int r1 = 0;
        for (int i = 0; i < 20; i++) {
            RequestId request = driver.request(TestRouterSettings.UNBOUNDED_READ);
            String to = driver.attempts(request).get(0);
            r1 += to.equals("r1") ? 1 : 0;
            driver.attemptEnded(request, 0, to, Outcome.SUCCEEDED, null);
        }
        assertThat(r1).isEqualTo(20); // the only replica
    }

    @Test
    void aPositionFromOthersAdmitsAReplicaWhileItIsFreshEnough() {
        driver.updateEndpoints(true, "p", "r1");
        driver.catchUp("p", "r1");
        driver.nowMs += 600;
        told(2, "r1", word(Role.REPLICA, driver.nowMs - 50, driver.nowMs - 50, driver.nowMs - 50, -1));
        assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("r1");
        driver.nowMs += 455; // half a second after that position
        assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                .doesNotContain("r1");
    }

    @Test
    void aServerFoundSilentElsewhereIsAskedFirst() {
        driver.updateEndpoints(true, "p", "r1", "r2");
        driver.catchUp("p", "r1", "r2");
        driver.nowMs += 50;
        told(1, "p", word(Role.PRIMARY, driver.nowMs - 40, -1, -1, driver.nowMs - 10));
        RequestId request = driver.request(TestRouterSettings.WRITE);
        assertThat(driver.attempts(request)).isEmpty();
        driver.healthCheckSucceeded("p", Role.PRIMARY, driver.nowMs);
        assertThat(driver.attempts(request)).containsExactly("p");
    }

    @Test
    void aDrainHeardBindsAtOnceAndAnOlderListDoesNotUndoIt() {
        driver.updateEndpoints(true, "p", "r1", "r2");
        driver.catchUp("p", "r1", "r2");
        ServerObservation drains = new ServerObservation(
                Role.UNKNOWN,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                driver.nowMs * 10 - 100);
        told(1, "r1", drains);
        driver.updateEndpoints(true, "p", "r1", "r2");
        for (int i = 0; i < 5; i++) {
            assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                    .containsExactly("r2");
        }
        told(
                2,
                "r1",
                word(Role.REPLICA, driver.nowMs, driver.nowMs, driver.nowMs, -1)); // another that does not know of it
        assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("r2");
    }

    @Test
    void aDrainThatNoListConfirmsLapses() {
        driver.updateEndpoints(true, "p", "r1");
        driver.catchUp("p", "r1");
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
                        driver.nowMs * 10));
        driver.advance(10_500);
        driver.catchUp("p", "r1");
        assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("r1");
    }

    @Test
    void coldHeardIsCold() {
        driver.updateEndpoints(true, "p", "r1", "r2");
        driver.catchUp("p", "r1", "r2");
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
                        driver.nowMs * 10 - 100,
                        LoadReport.UNKNOWN_TIME));
        int cold = 0;
        for (int i = 0; i < 20; i++) {
            cold += driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ))
                            .contains("r1")
                    ? 1
                    : 0;
        }
        assertThat(cold).isLessThan(8); // of 20, where a warm one takes half
    }

    @Test
    void aServerOnlyOthersNameIsNeverSentTo() {
        driver.updateEndpoints(true, "p");
        driver.catchUp("p");
        told(1, "ghost", word(Role.REPLICA, driver.nowMs, driver.nowMs, driver.nowMs, -1));
        told(1, "ghost2", word(Role.PRIMARY, driver.nowMs, driver.nowMs, driver.nowMs, -1));
        assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("p");
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE))).containsExactly("p");
        assertThat(driver.healthChecks("ghost")).isZero();
    }

    @Test
    void whoSaidWrongWhoLeadsIsBelievedLessNextTime() {
        driver.updateEndpoints(true, "p", "r1", "r2");
        driver.catchUp("p", "r1", "r2");
        driver.nowMs += 100;
        told(1, "r1", word(Role.PRIMARY, driver.nowMs - 1, -1, -1, -1));
        RequestId request = driver.request(TestRouterSettings.WRITE);
        assertThat(driver.attempts(request)).startsWith("r1");
        driver.attemptEnded(request, 0, "r1", Outcome.MISDIRECTED, new LoadReport(Role.REPLICA, driver.nowMs * 10));
        driver.nowMs += 1000;
        driver.catchUp("p", "r1", "r2");
        driver.nowMs += 100;
        told(1, "r1", word(Role.PRIMARY, driver.nowMs - 1, -1, -1, -1));
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE))).containsExactly("p");
    }

    @Test
    void aGatewayAsksAtItsStartAndAnswersThoseThatStart() {
        driver.updateEndpoints(true, "p", "r1");
        driver.advance(20);
        assertThat(tells())
                .hasSize(2)
                .allMatch(t -> Datagram.read(t.bytes()).datagram().kind() == Kind.ASKS);
        driver.catchUp("p", "r1");
        driver.actions.clear();
        driver.deliver(new Event.GossipReceived(2, new Datagram(Kind.ASKS, driver.nowMs * 10, Map.of()).bytes()));
        assertThat(tells()).hasSize(1);
        Map<Integer, ServerObservation> words =
                Datagram.read(tells().get(0).bytes()).datagram().words();
        assertThat(words.get(Datagram.number(new ServerId("p"))).role()).isEqualTo(Role.PRIMARY);
        assertThat(words.get(Datagram.number(new ServerId("r1"))).role()).isEqualTo(Role.REPLICA);
    }

    @Test
    void aSilentServerIsToldToOthersAndOneThatLeavesTellsWhatItKnows() {
        driver.updateEndpoints(true, "p", "r1");
        driver.catchUp("p", "r1");
        driver.advance(100);
        driver.actions.clear();
        driver.healthCheckTimedOut("r1");
        driver.healthCheckTimedOut("r1");
        driver.advance(600);
        driver.healthCheckTimedOut("r1");
        driver.advance(100);
        assertThat(tells())
                .anyMatch(t -> Datagram.read(t.bytes())
                        .datagram()
                        .words()
                        .getOrDefault(Datagram.number(new ServerId("r1")), ServerObservation.NONE)
                        .silent());
        driver.actions.clear();
        driver.deliver(new Event.ShutdownBegun());
        assertThat(tells())
                .hasSize(2)
                .allMatch(t -> Datagram.read(t.bytes()).datagram().kind() == Kind.LEAVES);
    }

    @Test
    void aServerReplacedUnderANewIdInheritsNothing() {
        driver.updateEndpoints(true, "p", "r1");
        driver.catchUp("p", "r1");
        driver.updateEndpoints(true, "p", "r9"); // r1 is gone, r9 in its place
        driver.nowMs += 10;
        told(1, "r1", word(Role.PRIMARY, driver.nowMs, driver.nowMs, driver.nowMs, -1));
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE))).containsExactly("p");
        assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("p");
    }

    @Test
    void whereWordsAreNotAllowedNoneAreSentOrHeard() {
        RouterDriver quiet = new RouterDriver();
        quiet.updateEndpoints(true, "p", "r1");
        quiet.catchUp("p", "r1");
        int before = quiet.actions.size();
        quiet.deliver(new Event.GossipReceived(1, new Datagram(Kind.ASKS, quiet.nowMs * 10, Map.of()).bytes()));
        quiet.deliver(new Event.ShutdownBegun());
        assertThat(quiet.actions).hasSize(before);
        quiet.advance(1000);
        assertThat(quiet.actions).noneMatch(a -> a instanceof Action.SendGossip);
    }
}
