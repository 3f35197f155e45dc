package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A server starts to drain while an attempt waits for its connection, or while the gateway's event loop is paused. */
@Timeout(120)
class DrainWhileConnectingTest {
    private static final String ROW_7 = "row 07 ready";
    private static final long DRAIN_GRACE_MS =
            500; // as in the example settings; limits when the first byte of an attempt is written
    private static final long PAUSE_MS = 150;

    @Test
    void anAttemptIsNotWrittenIfItsServerStartedToDrainWhileItWaitedForAConnection() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer primary = fixture.servers.get("p");
            TestClient first = fixture.connect().sendQuery(fixture.queryText("order"));
            ReceivedQuery inFlight = primary.nextQuery(); // occupies the connection opened for the health check
            primary.startupGate = new CountDownLatch(1);
            primary.acceptedConnections.clear();
            TestClient second = fixture.connect().sendQuery(fixture.queryText("order", 4000));
            assertThat(primary.acceptedConnections.poll(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .as(fixture::log)
                    .isNotNull();
            fixture.discovery.updates.add(fixture.endpointList(2, false, "p:DRAINING"));
            fixture.awaitLog("server p listed DRAINING");
            Thread.sleep(DRAIN_GRACE_MS + 100); // the connection is established after the grace period
            primary.startupGate.countDown();
            assertThat(second.readResponse()).as(fixture::log).startsWith("53300");
            assertThat(primary.pendingQueries)
                    .as("attempts after the grace period")
                    .isEmpty();
            inFlight.sendRow(new byte[] {7}); // an attempt in flight is completed
            assertThat(first.readResponse()).isEqualTo(ROW_7);
        }
    }

    @Test
    void aHealthCheckIsNotWrittenIfItsServerStartedToDrainWhileItWaitedForAConnection() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1").answerReads()) {
            FakeDatabaseServer draining = fixture.servers.get("r1");
            draining.startupGate = new CountDownLatch(1);
            fixture.start();
            draining.acceptedConnections.clear();
            TestClient client = fixture.connect();
            while (draining.acceptedConnections.isEmpty()) {
                assertThat(fixture.readWithRetries(client)).as(fixture::log).isEqualTo(ROW_7);
                Thread.sleep(5);
            }
            fixture.discovery.updates.add(fixture.endpointList(2, false, "r1:DRAINING"));
            fixture.awaitLog("server r1 listed DRAINING");
            Thread.sleep(DRAIN_GRACE_MS + 100);
            draining.startupGate.countDown();
            Thread.sleep(300); // many times the duration of a health check
            assertThat(draining.healthChecks).as(fixture::log).isZero();
        }
    }

    @Test
    void requestsReceivedDuringAPauseAreSentToADrainingServerWithinTheGracePeriodOrNotAtAll() throws Exception {
        try (GatewayTestFixture fixture =
                new GatewayTestFixture("p", "r1", "r2").answerReads().start()) {
            FakeDatabaseServer draining = fixture.servers.get("r1");
            draining.answersReads = false;
            try (AnsweringServer answers = new AnsweringServer(draining, query -> query.sendRow(new byte[] {7}))) {
                TestClient client = fixture.connect();
                for (int i = 0; i < 20; i++) {
                    assertThat(fixture.readWithRetries(client)).as(fixture::log).isEqualTo(ROW_7);
                }
                fixture.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
                fixture.pauseLoopWhileReading();
                fixture.discovery.updates.add(fixture.endpointList(2, false, "r1:DRAINING"));
                long updatedNanos = System.nanoTime();
                for (int i = 0; i < 8; i++) {
                    client.sendQuery(fixture.queryText("page"));
                }
                Thread.sleep(PAUSE_MS); // the pause itself
                fixture.resume();
                for (int i = 0; i < 8; i++) {
                    assertThat(client.readResponse()).as(fixture::log).isEqualTo(ROW_7);
                }
                fixture.awaitLog("server r1 listed DRAINING");
                assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - updatedNanos))
                        .as(fixture::log)
                        .isLessThan(DRAIN_GRACE_MS);
                int before = answers.queries.size();
                for (int i = 0; i < 50; i++) {
                    assertThat(fixture.readWithRetries(client)).as(fixture::log).isEqualTo(ROW_7);
                }
                assertThat(answers.queries).hasSize(before);
            }
        }
    }
}
