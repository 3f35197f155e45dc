package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Long outages of discovery, and drains that it reports when it returns, also during a graceful shutdown. */
@Timeout(120)
class DiscoveryOutageTest {
    private static final String ROW_7 = "row 07 ready";
    private static final long LONG_OUTAGE_MS = 20_000;
    private static final long OUTAGE_MS = 5000; // many times the longest delay between two requests
    private static final long DRAIN_WITHIN_MS = 6000;
    private static final int MAX_CALLS_PER_S =
            3; // the gateway waits at least a third of a second between failed requests

    private static void moveDiscovery(GatewayTestFixture fixture, FaultyDiscovery to) {
        fixture.configurationEdit = configuration -> configuration.replace(
                "\"discovery\":\"127.0.0.1:" + fixture.discovery.port(), "\"discovery\":\"127.0.0.1:" + to.port());
        fixture.reloadConfiguration(256);
        fixture.awaitLog("server r2 listed GONE");
    }

    @ParameterizedTest
    @EnumSource(value = FaultyDiscovery.State.class, names = "WORKS", mode = EnumSource.Mode.EXCLUDE)
    void serviceContinuesThroughALongOutageAndADrainAtItsEndTakesEffectInTime(FaultyDiscovery.State outage)
            throws Exception {
        try (GatewayTestFixture fixture =
                        new GatewayTestFixture("p", "r1", "r2").answerReads().start();
                FaultyDiscovery discovery = new FaultyDiscovery(5, fixture.endpointList(5, true, "p", "r1"))) {
            moveDiscovery(fixture, discovery);
            discovery.state = outage;
            TestClient client = fixture.connect();
            int calls = discovery.calls.get();
            long outageMs = outage == FaultyDiscovery.State.SILENT ? LONG_OUTAGE_MS : OUTAGE_MS;
            for (long startNanos = System.nanoTime();
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) < outageMs; ) {
                assertThat(fixture.readWithRetries(client)).as(fixture::log).isEqualTo(ROW_7);
                Thread.sleep(50);
            }
            assertThat(discovery.calls.get() - calls)
                    .as(fixture::log)
                    .isBetween(2, (int) (outageMs / 1000 * MAX_CALLS_PER_S) + 3);
            discovery.publish(6, fixture.endpointList(6, false, "r1:DRAINING"));
            discovery.state = FaultyDiscovery.State.WORKS;
            long returnedNanos = System.nanoTime();
            fixture.awaitLog("server r1 listed DRAINING");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - returnedNanos))
                    .as(fixture::log)
                    .isLessThan(DRAIN_WITHIN_MS);
        }
    }

    @Test
    void aDrainReportedWhenDiscoveryReturnsDuringAGracefulShutdownTakesEffect() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1", "r2", "r3")
                        .answerReads()
                        .start();
                FaultyDiscovery discovery = new FaultyDiscovery(5, fixture.endpointList(5, true, "p", "r1", "r3"))) {
            moveDiscovery(fixture, discovery);
            discovery.state = FaultyDiscovery.State.RESETS;
            TestClient client = fixture.connect();
            for (int i = 0; i < 20; i++) {
                assertThat(fixture.readWithRetries(client)).as(fixture::log).isEqualTo(ROW_7);
            }
            fixture.awaitLog("discovery lost"); // the open watch has failed
            CountDownLatch ended = new CountDownLatch(1);
            fixture.gateway.runOnLoop(() -> fixture.gateway.shutdownGracefully(ended));
            fixture.awaitLog("planned restart: 1 connections");
            discovery.publish(6, fixture.endpointList(6, false, "r1:DRAINING"));
            discovery.state = FaultyDiscovery.State.WORKS;
            int servedWhileDraining = 0;
            String answer = ROW_7;
            while (answer.equals(ROW_7)) {
                if (fixture.log().contains("server r1 listed DRAINING")) {
                    fixture.servers.get("r1").answersReads =
                            false; // a read sent to it now would be queued without an answer
                    servedWhileDraining++;
                }
                answer = client.sendQuery(fixture.queryText("page")).readResponse();
            }
            assertThat(answer).as(fixture::log).isEqualTo("closed");
            assertThat(servedWhileDraining).as(fixture::log).isGreaterThan(20);
            assertThat(fixture.servers.get("r1").pendingQueries).isEmpty();
            assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isTrue();
        }
    }
}
