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

/** What the router concludes from gossip of its peers, and what it gossips itself. */
class GossipInRouterTest {
    private final RouterDriver driver = RouterDriver.withGossip(3);

    /** Returns an observation with these times in ms; a negative time is unknown. */
    private ServerObservation observation(Role role, long roleMs, long positionMs, long aliveMs, long unresponsiveMs) {
        return new ServerObservation(
                role,
                at(roleMs),
                at(positionMs),
                at(positionMs),
                at(aliveMs),
                at(unresponsiveMs),
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME);
    }

    /** Converts ms to ticks; a negative time is unknown. */
    private static long at(long ms) {
        return ms < 0 ? LoadReport.UNKNOWN_TIME : ms * 10;
    }

    /** Delivers an observation of a server by a peer. */
    private void gossipReceived(int from, String server, ServerObservation received) {
        driver.deliver(new Event.GossipReceived(
                from,
                DatagramCodec.encode(new Datagram(
                        Kind.OBSERVATIONS, driver.nowMs * 10, Map.of(ServerHash.of(new ServerId(server)), received)))));
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
                true, "p", "r1", "r2"); // nothing observed yet; the peers have not noticed that p no longer answers
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
        RouterDriver driverOfLargeFleet =
                RouterDriver.withGossip(300); // each checks few servers at its start; this one not p
        driverOfLargeFleet.updateEndpoints(true, "p", "r1", "r2");
        assertThat(driverOfLargeFleet.healthChecks("p")).isZero();
        driverOfLargeFleet.healthCheckSucceeded("r1", Role.REPLICA, driverOfLargeFleet.nowMs);
        driverOfLargeFleet.deliver(new Event.GossipReceived(
                1,
                DatagramCodec.encode(new Datagram(
                        Kind.OBSERVATIONS,
                        driverOfLargeFleet.nowMs * 10,
                        Map.of(
                                ServerHash.of(new ServerId("p")),
                                observation(
                                        Role.PRIMARY,
                                        driverOfLargeFleet.nowMs,
                                        driverOfLargeFleet.nowMs,
                                        driverOfLargeFleet.nowMs,
                                        -1))))));
        driverOfLargeFleet.nowMs += 1200; // makes the position of r1 too old
        driverOfLargeFleet.healthCheckSucceeded("r1", Role.REPLICA, driverOfLargeFleet.nowMs - 1200);
        RequestId request = driverOfLargeFleet.request(TestRouterSettings.BOUNDED_READ);
        assertThat(driverOfLargeFleet.rejections(request)).isZero();
        driverOfLargeFleet.healthCheckSucceeded("p", Role.PRIMARY, driverOfLargeFleet.nowMs);
        assertThat(driverOfLargeFleet.attempts(request)).containsExactly("p");
    }

    /** Returns the event that a peer currently observes the server alive, in this role. */
    private Event.GossipReceived observedByAnother(RouterDriver target, String server, Role role) {
        return new Event.GossipReceived(
                1,
                DatagramCodec.encode(new Datagram(
                        Kind.OBSERVATIONS,
                        target.nowMs * 10,
                        Map.of(
                                ServerHash.of(new ServerId(server)),
                                observation(role, target.nowMs, target.nowMs, target.nowMs, -1)))));
    }

    @Test
    void aSlowServerThatOtherGatewaysObserveIsCheckedAndNotEjected() {
        RouterDriver driverOfLargeFleet = RouterDriver.withGossip(300);
        driverOfLargeFleet.updateEndpoints(true, "p", "r1", "r2");
        driverOfLargeFleet.catchUp("p", "r1", "r2");
        assertThat(driverOfLargeFleet.attempts(driverOfLargeFleet.request(TestRouterSettings.WRITE)))
                .containsExactly("p");
        long before = driverOfLargeFleet.healthChecks("p");
        for (int i = 0; i < 15; i++) {
            driverOfLargeFleet.advance(100); // in total, fifteen times the usual latency
            driverOfLargeFleet.deliver(observedByAnother(driverOfLargeFleet, "p", Role.PRIMARY));
        }
        assertThat(driverOfLargeFleet.logged("silent")).isFalse();
        assertThat(driverOfLargeFleet.healthChecks("p")).isGreaterThan(before);
    }

    @Test
    void aServerThatOtherGatewaysObservedMeanwhileIsPastSlowStartWhenReadmitted() {
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
        int requestsToR1 = 0;
        for (int i = 0; i < 20; i++) {
            RequestId request = driver.request(TestRouterSettings.UNBOUNDED_READ);
            String chosenServer = driver.attempts(request).get(0);
            requestsToR1 += chosenServer.equals("r1") ? 1 : 0;
            driver.attemptEnded(request, 0, chosenServer, Outcome.SUCCEEDED, null);
        }
        assertThat(requestsToR1).isEqualTo(20); // r1 is the only replica
    }

    @Test
    void aPositionFromGossipMakesAReplicaEligibleWhileItIsCurrentEnough() {
        driver.updateEndpoints(true, "p", "r1");
        driver.catchUp("p", "r1");
        driver.nowMs += 600;
        gossipReceived(2, "r1", observation(Role.REPLICA, driver.nowMs - 50, driver.nowMs - 50, driver.nowMs - 50, -1));
        assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("r1");
        driver.nowMs += 455; // the position is now more than half a second old
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
        ServerObservation drain = new ServerObservation(
                Role.UNKNOWN,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                driver.nowMs * 10 - 100);
        gossipReceived(1, "r1", drain);
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
                        -1)); // from a peer that does not know of the drain
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
    void aServerThatGossipReportsInSlowStartGetsFewRequests() {
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
        int requestsToR1 = 0;
        for (int i = 0; i < 20; i++) {
            requestsToR1 += driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ))
                            .contains("r1")
                    ? 1
                    : 0;
        }
        assertThat(requestsToR1).isLessThan(8); // of 20; a replica past slow start would get half
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
        Map<Integer, ServerObservation> sentObservations =
                DatagramCodec.decode(sentGossip().get(0).bytes()).datagram().observations();
        assertThat(sentObservations.get(ServerHash.of(new ServerId("p"))).role())
                .isEqualTo(Role.PRIMARY);
        assertThat(sentObservations.get(ServerHash.of(new ServerId("r1"))).role())
                .isEqualTo(Role.REPLICA);
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
