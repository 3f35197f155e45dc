package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A reloaded configuration names another discovery agent, whose endpoint list is older or newer than the gateway's. */
@Timeout(120)
class OutdatedAgentTest {
    private static final String ROW_7 = "row 07 ready";
    private static final int READS = 200;

    private static void moveDiscovery(GatewayTestFixture fixture, FaultyDiscovery to) throws InterruptedException {
        fixture.configurationEdit = configuration -> configuration.replace(
                "\"discovery\":\"127.0.0.1:" + fixture.discovery.port(), "\"discovery\":\"127.0.0.1:" + to.port());
        fixture.reloadConfiguration(256);
        long end = System.nanoTime() + GatewayTestFixture.TIMEOUT_S * 1_000_000_000L;
        while (to.calls.get() < 2) { // the list has been applied, since the watch after it is open
            assertThat(System.nanoTime()).as(fixture::log).isLessThan(end);
            Thread.sleep(5);
        }
    }

    private static int readsServedByR1(GatewayTestFixture fixture) throws Exception {
        TestClient client = fixture.connect();
        FakeDatabaseServer r1 = fixture.servers.get("r1");
        r1.receivedRequests.clear();
        for (int i = 0; i < READS; i++) {
            assertThat(fixture.readWithRetries(client)).as(fixture::log).isEqualTo(ROW_7);
        }
        return r1.receivedRequests.size();
    }

    private static void drain(GatewayTestFixture fixture) {
        fixture.discovery.updates.add(fixture.endpointList(5, false, "r1:DRAINING"));
        fixture.awaitLog("server r1 listed DRAINING");
    }

    @Test
    void anOlderListDoesNotUndoADrain() throws Exception {
        try (GatewayTestFixture fixture =
                        new GatewayTestFixture("p", "r1", "r2").answerReads().start();
                FaultyDiscovery behind = new FaultyDiscovery(3, fixture.endpointList(3, true, "p", "r1", "r2"))) {
            drain(fixture);
            moveDiscovery(fixture, behind);
            assertThat(readsServedByR1(fixture)).as(fixture::log).isZero();
        }
    }

    @Test
    void anOlderListDoesNotReadmitAServerThatDrainedAndWasRemoved() throws Exception {
        try (GatewayTestFixture fixture =
                        new GatewayTestFixture("p", "r1", "r2").answerReads().start();
                FaultyDiscovery behind = new FaultyDiscovery(3, fixture.endpointList(3, true, "p", "r1", "r2"))) {
            drain(fixture);
            fixture.discovery.updates.add(fixture.endpointList(6, false, "r1:DELETED"));
            fixture.awaitLog("server r1 listed GONE");
            moveDiscovery(fixture, behind);
            assertThat(readsServedByR1(fixture)).as(fixture::log).isZero();
        }
    }

    @Test
    void anOlderListDoesNotReadmitARemovedServerWhoseStartLiesAheadOfTheClock() throws Exception {
        String started = "\"cell\":1,\"up_since_ms\":" + (System.currentTimeMillis() + 60_000) + ",";
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1", "r2").answerReads();
                FaultyDiscovery behind = new FaultyDiscovery(
                        3, fixture.endpointList(3, true, "p", "r1", "r2").replace("\"cell\":1,", started))) {
            fixture.discovery.completeList = fixture.discovery.completeList.replace("\"cell\":1,", started);
            fixture.start();
            fixture.discovery.updates.add(
                    fixture.endpointList(5, false, "r1:DRAINING").replace("\"cell\":1,", started));
            fixture.discovery.updates.add(
                    fixture.endpointList(6, false, "r1:DELETED").replace("\"cell\":1,", started));
            fixture.awaitLog("server r1 listed GONE");
            moveDiscovery(fixture, behind);
            assertThat(readsServedByR1(fixture)).as(fixture::log).isZero();
            assertThat(fixture.log()).doesNotContain("server r1 listed IN");
        }
    }

    @Test
    void aDrainInAnUpdateOfALowerRevisionTakesEffectThoughNoCompleteListFollows() throws Exception {
        try (GatewayTestFixture fixture =
                new GatewayTestFixture("p", "r1", "r2").answerReads().start()) {
            fixture.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
            fixture.discovery.unresponsive = true; // except for the watch that is open
            fixture.discovery.updates.add(fixture.endpointList(0, false, "r1:DRAINING"));
            fixture.awaitLog("discovery went back from revision 1 to 0");
            assertThat(readsServedByR1(fixture)).as(fixture::log).isZero();
        }
    }

    @Test
    void aDrainFromTheFormerAgentTakesEffectWhileTheNewOneIsUnresponsive() throws Exception {
        try (GatewayTestFixture fixture =
                        new GatewayTestFixture("p", "r1", "r2").answerReads().start();
                FaultyDiscovery unresponsive = new FaultyDiscovery(3, fixture.endpointList(3, true, "p", "r1", "r2"))) {
            fixture.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
            unresponsive.state = FaultyDiscovery.State.SILENT;
            fixture.configurationEdit = configuration -> configuration.replace(
                    "\"discovery\":\"127.0.0.1:" + fixture.discovery.port(),
                    "\"discovery\":\"127.0.0.1:" + unresponsive.port());
            fixture.reloadConfiguration(256);
            fixture.awaitLog("new configuration: ");
            fixture.discovery.updates.add(fixture.endpointList(2, false, "r1:DRAINING"));
            fixture.awaitLog("server r1 listed DRAINING");
            assertThat(readsServedByR1(fixture)).as(fixture::log).isZero();
        }
    }

    @Test
    void aLaterStartInAnOlderListEndsADrain() throws Exception {
        String started = "\"cell\":1,\"up_since_ms\":" + System.currentTimeMillis() + ",";
        try (GatewayTestFixture fixture =
                        new GatewayTestFixture("p", "r1", "r2").answerReads().start();
                FaultyDiscovery behind = new FaultyDiscovery(
                        3, fixture.endpointList(3, true, "p", "r1", "r2").replace("\"cell\":1,", started))) {
            drain(fixture);
            moveDiscovery(fixture, behind);
            fixture.awaitLog("server r1 listed IN");
        }
    }

    @Test
    void aNewerListEndsADrain() throws Exception {
        try (GatewayTestFixture fixture =
                        new GatewayTestFixture("p", "r1", "r2").answerReads().start();
                FaultyDiscovery ahead = new FaultyDiscovery(6, fixture.endpointList(6, true, "p", "r1", "r2"))) {
            drain(fixture);
            moveDiscovery(fixture, ahead);
            assertThat(readsServedByR1(fixture)).as(fixture::log).isPositive();
        }
    }

    @Test
    void aDrainReportedByAnOutdatedAgentTakesEffect() throws Exception {
        try (GatewayTestFixture fixture =
                        new GatewayTestFixture("p", "r1", "r2").answerReads().start();
                FaultyDiscovery behind =
                        new FaultyDiscovery(0, fixture.endpointList(0, true, "p", "r1:DRAINING", "r2"))) {
            moveDiscovery(fixture, behind);
            assertThat(readsServedByR1(fixture)).as(fixture::log).isZero();
        }
    }
}
