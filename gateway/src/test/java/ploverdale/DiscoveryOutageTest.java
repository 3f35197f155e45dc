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
        net.settings = told -> told.replace(
                "\"discovery\":\"127.0.0.1:" + net.registry.port(), "\"discovery\":\"127.0.0.1:" + to.port());
        net.renew(256);
        net.logged("server r2 listed GONE");
    }

    @ParameterizedTest
    @EnumSource(value = FaultyDiscovery.State.class, names = "WORKS", mode = EnumSource.Mode.EXCLUDE)
    void serviceGoesOnThroughALongOutageAndADrainAtItsEndIsInForceInTime(FaultyDiscovery.State outage)
            throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").readable().started();
                FaultyDiscovery discovery = new FaultyDiscovery(5, net.list(5, true, "p", "r1"))) {
            moveDiscovery(net, discovery);
            discovery.state = outage;
            TestClient client = net.client();
            int calls = discovery.calls.get();
            long outageMs = outage == FaultyDiscovery.State.SILENT ? LONG_OUTAGE_MS : OUTAGE_MS;
            for (long began = System.nanoTime();
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began) < outageMs; ) {
                assertThat(net.read(client)).as(net::log).isEqualTo(ROW_7);
                Thread.sleep(50);
            }
            assertThat(discovery.calls.get() - calls)
                    .as(net::log)
                    .isBetween(2, (int) (outageMs / 1000 * CALLS_A_SECOND_MOST) + 3);
            discovery.list(6, net.list(6, false, "r1:DRAINING"));
            discovery.state = FaultyDiscovery.State.WORKS;
            long returned = System.nanoTime();
            net.logged("server r1 listed DRAINING");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - returned))
                    .as(net::log)
                    .isLessThan(TOLD_WITHIN_MS);
        }
    }

    @Test
    void aDrainThatDiscoveryTellsAtItsReturnDuringAGracefulShutdownIsInForce() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2", "r3").readable().started();
                FaultyDiscovery discovery = new FaultyDiscovery(5, net.list(5, true, "p", "r1", "r3"))) {
            moveDiscovery(net, discovery);
            discovery.state = FaultyDiscovery.State.RESETS;
            TestClient client = net.client();
            for (int i = 0; i < 20; i++) {
                assertThat(net.read(client)).as(net::log).isEqualTo(ROW_7);
            }
            net.logged("discovery lost"); // the watch that was open has been given up
            CountDownLatch ended = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            net.logged("planned restart: 1 connections");
            discovery.list(6, net.list(6, false, "r1:DRAINING"));
            discovery.state = FaultyDiscovery.State.WORKS;
            int servedWhileDraining = 0;
            String answer = ROW_7;
            while (answer.equals(ROW_7)) {
                if (net.log().contains("server r1 listed DRAINING")) {
                    net.servers.get("r1").reads = false; // a read that reached it now would be seen, and have no answer
                    servedWhileDraining++;
                }
                answer = client.ask(net.request("page")).answer();
            }
            assertThat(answer).as(net::log).isEqualTo("closed");
            assertThat(servedWhileDraining).as(net::log).isGreaterThan(20);
            assertThat(net.servers.get("r1").got).isEmpty();
            assertThat(ended.await(GatewayTestFixture.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
        }
    }
}
