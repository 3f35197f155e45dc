package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A new configuration moves discovery to an agent whose list is older or newer than what the gateway knows. */
@Timeout(120)
class OutdatedAgentTest {
    private static final String ROW_7 = "row 07 ready";
    private static final int READS = 200;

    private static void moveDiscovery(GatewayTestFixture net, FaultyDiscovery to) throws InterruptedException {
        net.configurationEdit = told -> told.replace(
                "\"discovery\":\"127.0.0.1:" + net.discovery.port(), "\"discovery\":\"127.0.0.1:" + to.port());
        net.reloadConfiguration(256);
        long end = System.nanoTime() + GatewayTestFixture.TIMEOUT_S * 1_000_000_000L;
        while (to.calls.get() < 2) { // its list has been read, since the watch behind it is open
            assertThat(System.nanoTime()).as(net::log).isLessThan(end);
            Thread.sleep(5);
        }
    }

    private static int readsServedByR1(GatewayTestFixture net) throws Exception {
        TestClient client = net.connect();
        FakeDatabaseServer r1 = net.servers.get("r1");
        r1.receivedRequests.clear();
        for (int i = 0; i < READS; i++) {
            assertThat(net.readWithRetries(client)).as(net::log).isEqualTo(ROW_7);
        }
        return r1.receivedRequests.size();
    }

    private static void drain(GatewayTestFixture net) {
        net.discovery.updates.add(net.endpointList(5, false, "r1:DRAINING"));
        net.awaitLog("server r1 listed DRAINING");
    }

    @Test
    void anOlderListDoesNotUndoADrain() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").answerReads().start();
                FaultyDiscovery behind = new FaultyDiscovery(3, net.endpointList(3, true, "p", "r1", "r2"))) {
            drain(net);
            moveDiscovery(net, behind);
            assertThat(readsServedByR1(net)).as(net::log).isZero();
        }
    }

    @Test
    void anOlderListDoesNotBringBackAServerThatDrainedAndWasRemoved() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").answerReads().start();
                FaultyDiscovery behind = new FaultyDiscovery(3, net.endpointList(3, true, "p", "r1", "r2"))) {
            drain(net);
            net.discovery.updates.add(net.endpointList(6, false, "r1:DELETED"));
            net.awaitLog("server r1 listed GONE");
            moveDiscovery(net, behind);
            assertThat(readsServedByR1(net)).as(net::log).isZero();
        }
    }

    @Test
    void anOlderListDoesNotBringBackARemovedServerWhoseStartLiesAheadOfTheClock() throws Exception {
        String started = "\"cell\":1,\"up_since_ms\":" + (System.currentTimeMillis() + 60_000) + ",";
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").answerReads();
                FaultyDiscovery behind = new FaultyDiscovery(
                        3, net.endpointList(3, true, "p", "r1", "r2").replace("\"cell\":1,", started))) {
            net.discovery.completeList = net.discovery.completeList.replace("\"cell\":1,", started);
            net.start();
            net.discovery.updates.add(net.endpointList(5, false, "r1:DRAINING").replace("\"cell\":1,", started));
            net.discovery.updates.add(net.endpointList(6, false, "r1:DELETED").replace("\"cell\":1,", started));
            net.awaitLog("server r1 listed GONE");
            moveDiscovery(net, behind);
            assertThat(readsServedByR1(net)).as(net::log).isZero();
            assertThat(net.log()).doesNotContain("server r1 listed IN");
        }
    }

    @Test
    void aDrainInAnUpdateOfALowerRevisionIsInForceThoughNoCompleteListFollows() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").answerReads().start()) {
            net.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
            net.discovery.unresponsive = true; // but for the watch that is open
            net.discovery.updates.add(net.endpointList(0, false, "r1:DRAINING"));
            net.awaitLog("discovery went back from revision 1 to 0");
            assertThat(readsServedByR1(net)).as(net::log).isZero();
        }
    }

    @Test
    void aDrainThatTheFormerAgentWritesWhileTheNewOneIsSilentIsInForce() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").answerReads().start();
                FaultyDiscovery silent = new FaultyDiscovery(3, net.endpointList(3, true, "p", "r1", "r2"))) {
            net.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
            silent.state = FaultyDiscovery.State.SILENT;
            net.configurationEdit = told -> told.replace(
                    "\"discovery\":\"127.0.0.1:" + net.discovery.port(), "\"discovery\":\"127.0.0.1:" + silent.port());
            net.reloadConfiguration(256);
            net.awaitLog("new configuration: ");
            net.discovery.updates.add(net.endpointList(2, false, "r1:DRAINING"));
            net.awaitLog("server r1 listed DRAINING");
            assertThat(readsServedByR1(net)).as(net::log).isZero();
        }
    }

    @Test
    void aLaterStartInAnOlderListEndsADrain() throws Exception {
        String started = "\"cell\":1,\"up_since_ms\":" + System.currentTimeMillis() + ",";
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").answerReads().start();
                FaultyDiscovery behind = new FaultyDiscovery(
                        3, net.endpointList(3, true, "p", "r1", "r2").replace("\"cell\":1,", started))) {
            drain(net);
            moveDiscovery(net, behind);
            net.awaitLog("server r1 listed IN");
        }
    }

    @Test
    void aNewerListEndsADrain() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").answerReads().start();
                FaultyDiscovery ahead = new FaultyDiscovery(6, net.endpointList(6, true, "p", "r1", "r2"))) {
            drain(net);
            moveDiscovery(net, ahead);
            assertThat(readsServedByR1(net)).as(net::log).isPositive();
        }
    }

    @Test
    void aDrainToldByAnAgentThatIsBehindIsInForce() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").answerReads().start();
                FaultyDiscovery behind = new FaultyDiscovery(0, net.endpointList(0, true, "p", "r1:DRAINING", "r2"))) {
            moveDiscovery(net, behind);
            assertThat(readsServedByR1(net)).as(net::log).isZero();
        }
    }
}
