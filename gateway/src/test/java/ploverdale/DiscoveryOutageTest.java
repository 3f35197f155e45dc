package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Longer outages of discovery, and drains that are told at its return or during a graceful shutdown. */
@Timeout(120)
class DiscoveryOutageTest {
    private static final String ROW_7 = "row 07 ready";
    private static final long LONG_OUTAGE_MS = 20_000;
    private static final long OUTAGE_MS = 5000; // longer than the longest wait between two calls, many times
    private static final long TOLD_WITHIN_MS = 6000;
    private static final int CALLS_A_SECOND_MOST =
            3; // the gateway waits at least a third of a second between calls that fail

    private static void moveDiscovery(GatewayTestFixture net, FaultyDiscovery to) {
        net.configurationEdit = told -> told.replace(
                "\"discovery\":\"127.0.0.1:" + net.discovery.port(), "\"discovery\":\"127.0.0.1:" + to.port());
        net.reloadConfiguration(256);
        net.awaitLog("server r2 listed GONE");
    }

    @ParameterizedTest
    @EnumSource(value = FaultyDiscovery.State.class, names = "WORKS", mode = EnumSource.Mode.EXCLUDE)
    void serviceGoesOnThroughALongOutageAndADrainAtItsEndIsInForceInTime(FaultyDiscovery.State outage)
            throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").answerReads().start();
                FaultyDiscovery discovery = new FaultyDiscovery(5, net.endpointList(5, true, "p", "r1"))) {
            moveDiscovery(net, discovery);
            discovery.state = outage;
            TestClient client = net.connect();
            int calls = discovery.calls.get();
            long outageMs = outage == FaultyDiscovery.State.SILENT ? LONG_OUTAGE_MS : OUTAGE_MS;
            for (long began = System.nanoTime();
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began) < outageMs; ) {
                assertThat(net.readWithRetries(client)).as(net::log).isEqualTo(ROW_7);
                Thread.sleep(50);
            }
            assertThat(discovery.calls.get() - calls)
                    .as(net::log)
                    .isBetween(2, (int) (outageMs / 1000 * CALLS_A_SECOND_MOST) + 3);
            discovery.publish(6, net.endpointList(6, false, "r1:DRAINING"));
            discovery.state = FaultyDiscovery.State.WORKS;
            long returned = System.nanoTime();
            net.awaitLog("server r1 listed DRAINING");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - returned))
                    .as(net::log)
                    .isLessThan(TOLD_WITHIN_MS);
        }
    }

    @Test
    void aDrainThatDiscoveryTellsAtItsReturnDuringAGracefulShutdownIsInForce() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2", "r3").answerReads().start();
                FaultyDiscovery discovery = new FaultyDiscovery(5, net.endpointList(5, true, "p", "r1", "r3"))) {
            moveDiscovery(net, discovery);
            discovery.state = FaultyDiscovery.State.RESETS;
            TestClient client = net.connect();
            for (int i = 0; i < 20; i++) {
                assertThat(net.readWithRetries(client)).as(net::log).isEqualTo(ROW_7);
            }
            net.awaitLog("discovery lost"); // the watch that was open has been given up
            CountDownLatch ended = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            net.awaitLog("planned restart: 1 connections");
            discovery.publish(6, net.endpointList(6, false, "r1:DRAINING"));
            discovery.state = FaultyDiscovery.State.WORKS;
            int servedWhileDraining = 0;
            String answer = ROW_7;
            while (answer.equals(ROW_7)) {
                if (net.log().contains("server r1 listed DRAINING")) {
                    net.servers.get("r1").answersReads = false; // a read that reached it now would be seen, and have no answer
                    servedWhileDraining++;
                }
                answer = client.sendQuery(net.queryText("page")).readResponse();
            }
            assertThat(answer).as(net::log).isEqualTo("closed");
            assertThat(servedWhileDraining).as(net::log).isGreaterThan(20);
            assertThat(net.servers.get("r1").pendingQueries).isEmpty();
            assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        }
    }
}
