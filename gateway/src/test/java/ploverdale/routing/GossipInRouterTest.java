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

/** What the router concludes from gossip of other gateways, and what it gossips. */
class GossipInRouterTest {
    private final RouterDriver driver = RouterDriver.withGossip(3);

    private ServerObservation observation(Role role, long roleMs, long positionMs, long aliveMs, long silentMs) {
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

    private void gossipReceived(int from, String server, ServerObservation w) {
        driver.deliver(new Event.GossipReceived(
                from,
                DatagramCodec.encode(new Datagram(
                        Kind.OBSERVATIONS, driver.nowMs * 10, Map.of(ServerHash.of(new ServerId(server)), w)))));
    }

    private List<Action.SendGossip> sentGossip() {
        return driver.actions.stream()
                .filter(a -> a instanceof Action.SendGossip)
                .map(a -> (Action.SendGossip) a)
                .toList();
    }

    @Test
    void aNewPrimaryIsLearntFromGossipAndOutdatedGossipDoesNotOverrideIt() {
        driver.updateEndpoints(true, "p", "r1", "r2");
        driver.catchUp("p", "r1", "r2");
        driver.nowMs += 100;
        gossipReceived(1, "r1", observation(Role.PRIMARY, driver.nowMs - 20, driver.nowMs - 20, driver.nowMs - 20, -1));
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE))).containsExactly("r1");
        gossipReceived(2, "p", observation(Role.PRIMARY, driver.nowMs - 500, -1, -1, -1));
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE))).containsExactly("r1");
    }

    @Test
    void aPrimaryKnownOnlyFromGossipIsCheckedBeforeItGetsAWrite() {
        driver.updateEndpoints(
                true, "p", "r1", "r2"); // nothing observed yet; the others have not noticed that p no longer answers
        gossipReceived(
                1, "p", observation(Role.PRIMARY, driver.nowMs - 100, driver.nowMs - 100, driver.nowMs - 100, -1));
        RequestId request = driver.request(TestRouterSettings.WRITE);
        assertThat(driver.attempts(request)).isEmpty();
        assertThat(driver.healthChecks("p")).isPositive();
        driver.healthCheckSucceeded("p", Role.PRIMARY, driver.nowMs);
        assertThat(driver.attempts(request)).containsExactly("p");
    }

    @Test
    void aReadThatOnlyAPrimaryKnownFromGossipCouldServeWaitsForItsHealthCheck() {
        RouterDriver driverOfMany =
                RouterDriver.withGossip(300); // each checks few servers at its start, and p is not among them
        driverOfMany.updateEndpoints(true, "p", "r1", "r2");
        assertThat(driverOfMany.healthChecks("p")).isZero();
        driverOfMany.healthCheckSucceeded("r1", Role.REPLICA, driverOfMany.nowMs);
        driverOfMany.deliver(new Event.GossipReceived(
                1,
                DatagramCodec.encode(new Datagram(
                        Kind.OBSERVATIONS,
                        driverOfMany.nowMs * 10,
                        Map.of(
                                ServerHash.of(new ServerId("p")),
                                observation(
                                        Role.PRIMARY,
                                        driverOfMany.nowMs,
                                        driverOfMany.nowMs,
                                        driverOfMany.nowMs,
                                        -1))))));
        driverOfMany.nowMs += 1200; // the position of r1 is too old by now
        driverOfMany.healthCheckSucceeded("r1", Role.REPLICA, driverOfMany.nowMs - 1200);
        RequestId request = driverOfMany.request(TestRouterSettings.BOUNDED_READ);
        assertThat(driverOfMany.rejections(request)).isZero();
        driverOfMany.healthCheckSucceeded("p", Role.PRIMARY, driverOfMany.nowMs);
        assertThat(driverOfMany.attempts(request)).containsExactly("p");
    }

    private Event.GossipReceived observedByAnother(RouterDriver h, String server, Role role) {
        return new Event.GossipReceived(
                1,
                DatagramCodec.encode(new Datagram(
                        Kind.OBSERVATIONS,
                        h.nowMs * 10,
                        Map.of(
                                ServerHash.of(new ServerId(server)),
                                observation(role, h.nowMs, h.nowMs, h.nowMs, -1)))));
    }

    @Test
    void aSlowServerThatOtherGatewaysObserveIsCheckedAndNotEjected() {
        RouterDriver driverOfMany = RouterDriver.withGossip(300);
        driverOfMany.updateEndpoints(true, "p", "r1", "r2");
        driverOfMany.catchUp("p", "r1", "r2");
        assertThat(driverOfMany.attempts(driverOfMany.request(TestRouterSettings.WRITE)))
                .containsExactly("p");
        long before = driverOfMany.healthChecks("p");
        for (int i = 0; i < 15; i++) {
            driverOfMany.advance(100); // in all, fifteen times what an answer usually takes
            driverOfMany.deliver(observedByAnother(driverOfMany, "p", Role.PRIMARY));
        }
        assertThat(driverOfMany.logged("silent")).isFalse();
        assertThat(driverOfMany.healthChecks("p")).isGreaterThan(before);
    }

    @Test
    void aServerThatOtherGatewaysObservedMeanwhileIsWarmWhenReadmitted() {
        driver.updateEndpoints(true, "p", "r1");
        driver.catchUp("p", "r1");
        driver.advance(500);
        driver.healthCheckTimedOut("r1");
        driver.healthCheckTimedOut("r1");
        assertThat(driver.logged("r1 silent")).isTrue();
        for (int i = 0; i < 25; i++) {
            driver.advance(100);
            driver.deliver(observedByAnother(driver, "r1", Role.REPLICA));
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
    void aPositionFromGossipMakesAReplicaEligibleWhileItIsCurrentEnough() {
        driver.updateEndpoints(true, "p", "r1");
        driver.catchUp("p", "r1");
        driver.nowMs += 600;
        gossipReceived(2, "r1", observation(Role.REPLICA, driver.nowMs - 50, driver.nowMs - 50, driver.nowMs - 50, -1));
        assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("r1");
        driver.nowMs += 455; // half a second after that position
        assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                .doesNotContain("r1");
    }

    @Test
    void aServerEjectedByAnotherGatewayIsCheckedBeforeItGetsARequest() {
        driver.updateEndpoints(true, "p", "r1", "r2");
        driver.catchUp("p", "r1", "r2");
        driver.nowMs += 50;
        gossipReceived(1, "p", observation(Role.PRIMARY, driver.nowMs - 40, -1, -1, driver.nowMs - 10));
        RequestId request = driver.request(TestRouterSettings.WRITE);
        assertThat(driver.attempts(request)).isEmpty();
        driver.healthCheckSucceeded("p", Role.PRIMARY, driver.nowMs);
        assertThat(driver.attempts(request)).containsExactly("p");
    }

    @Test
    void aDrainFromGossipTakesEffectAtOnceAndAnOlderListDoesNotUndoIt() {
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
        gossipReceived(1, "r1", drains);
        driver.updateEndpoints(true, "p", "r1", "r2");
        for (int i = 0; i < 5; i++) {
            assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                    .containsExactly("r2");
        }
        gossipReceived(
                2,
                "r1",
                observation(
                        Role.REPLICA,
                        driver.nowMs,
                        driver.nowMs,
                        driver.nowMs,
                        -1)); // from a gateway that does not know of the drain
        assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("r2");
    }

    @Test
    void aDrainFromGossipThatNoListConfirmsExpires() {
        driver.updateEndpoints(true, "p", "r1");
        driver.catchUp("p", "r1");
        gossipReceived(
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
    void aServerThatGossipReportsAsWarmingUpGetsFewRequests() {
        driver.updateEndpoints(true, "p", "r1", "r2");
        driver.catchUp("p", "r1", "r2");
        gossipReceived(
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
        assertThat(cold).isLessThan(8); // of 20, where a warm one gets half
    }

    @Test
    void aServerKnownOnlyFromGossipGetsNoRequest() {
        driver.updateEndpoints(true, "p");
        driver.catchUp("p");
        gossipReceived(1, "ghost", observation(Role.REPLICA, driver.nowMs, driver.nowMs, driver.nowMs, -1));
        gossipReceived(1, "ghost2", observation(Role.PRIMARY, driver.nowMs, driver.nowMs, driver.nowMs, -1));
        assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("p");
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE))).containsExactly("p");
        assertThat(driver.healthChecks("ghost")).isZero();
    }

    @Test
    void aGatewayThatNamedAWrongPrimaryIsTrustedLessNextTime() {
        driver.updateEndpoints(true, "p", "r1", "r2");
        driver.catchUp("p", "r1", "r2");
        driver.nowMs += 100;
        gossipReceived(1, "r1", observation(Role.PRIMARY, driver.nowMs - 1, -1, -1, -1));
        RequestId request = driver.request(TestRouterSettings.WRITE);
        assertThat(driver.attempts(request)).startsWith("r1");
        driver.attemptEnded(request, 0, "r1", Outcome.MISDIRECTED, new LoadReport(Role.REPLICA, driver.nowMs * 10));
        driver.nowMs += 1000;
        driver.catchUp("p", "r1", "r2");
        driver.nowMs += 100;
        gossipReceived(1, "r1", observation(Role.PRIMARY, driver.nowMs - 1, -1, -1, -1));
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE))).containsExactly("p");
    }

    @Test
    void aGatewayRequestsGossipAtItsStartAndAnswersThoseThatStart() {
        driver.updateEndpoints(true, "p", "r1");
        driver.advance(20);
        assertThat(sentGossip())
                .hasSize(2)
                .allMatch(t -> DatagramCodec.decode(t.bytes()).datagram().kind() == Kind.SNAPSHOT_REQUEST);
        driver.catchUp("p", "r1");
        driver.actions.clear();
        driver.deliver(new Event.GossipReceived(
                2, DatagramCodec.encode(new Datagram(Kind.SNAPSHOT_REQUEST, driver.nowMs * 10, Map.of()))));
        assertThat(sentGossip()).hasSize(1);
        Map<Integer, ServerObservation> words =
                DatagramCodec.decode(sentGossip().get(0).bytes()).datagram().observations();
        assertThat(words.get(ServerHash.of(new ServerId("p"))).role()).isEqualTo(Role.PRIMARY);
        assertThat(words.get(ServerHash.of(new ServerId("r1"))).role()).isEqualTo(Role.REPLICA);
    }

    @Test
    void anEjectionIsGossipedAndAGatewayThatShutsDownSendsAllItKnows() {
        driver.updateEndpoints(true, "p", "r1");
        driver.catchUp("p", "r1");
        driver.advance(100);
        driver.actions.clear();
        driver.healthCheckTimedOut("r1");
        driver.healthCheckTimedOut("r1");
        driver.advance(600);
        driver.healthCheckTimedOut("r1");
        driver.advance(100);
        assertThat(sentGossip())
                .anyMatch(t -> DatagramCodec.decode(t.bytes())
                        .datagram()
                        .observations()
                        .getOrDefault(ServerHash.of(new ServerId("r1")), ServerObservation.NONE)
                        .isUnresponsive());
        driver.actions.clear();
        driver.deliver(new Event.ShutdownBegun());
        assertThat(sentGossip())
                .hasSize(2)
                .allMatch(t -> DatagramCodec.decode(t.bytes()).datagram().kind() == Kind.LEAVE);
    }

    @Test
    void aServerReplacedUnderANewIdInheritsNoObservation() {
        driver.updateEndpoints(true, "p", "r1");
        driver.catchUp("p", "r1");
        driver.updateEndpoints(true, "p", "r9"); // r9 replaces r1
        driver.nowMs += 10;
        gossipReceived(1, "r1", observation(Role.PRIMARY, driver.nowMs, driver.nowMs, driver.nowMs, -1));
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE))).containsExactly("p");
        assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("p");
    }

    @Test
    void whereGossipIsDisabledNoneIsSentOrAccepted() {
        RouterDriver withoutGossip = new RouterDriver();
        withoutGossip.updateEndpoints(true, "p", "r1");
        withoutGossip.catchUp("p", "r1");
        int before = withoutGossip.actions.size();
        withoutGossip.deliver(new Event.GossipReceived(
                1, DatagramCodec.encode(new Datagram(Kind.SNAPSHOT_REQUEST, withoutGossip.nowMs * 10, Map.of()))));
        withoutGossip.deliver(new Event.ShutdownBegun());
        assertThat(withoutGossip.actions).hasSize(before);
        withoutGossip.advance(1000);
        assertThat(withoutGossip.actions).noneMatch(a -> a instanceof Action.SendGossip);
    }
}
