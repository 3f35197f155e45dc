package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A server that begins to drain while an attempt waits for its connection, or while the gateway is held up. */
@Timeout(120)
class DrainWhileConnectingTest {
    private static final String ROW_7 = "row 07 ready";
    private static final long DRAIN_GRACE_MS =
            500; // as in the example settings; counted to the first byte of an attempt
    private static final long HELD_UP_MS = 150;

    @Test
    void anAttemptThatWaitedForItsConnectionIsNotWrittenToAServerThatDrainsByThen() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer primary = net.servers.get("p");
            TestClient first = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery inHand = primary.nextQuery(); // has the connection that the probe opened
            primary.startupGate = new CountDownLatch(1);
            primary.acceptedConnections.clear();
            TestClient second = net.connect().sendQuery(net.queryText("order", 4000));
            assertThat(primary.acceptedConnections.poll(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .as(net::log)
                    .isNotNull();
            net.discovery.updates.add(net.endpointList(2, false, "p:DRAINING"));
            net.awaitLog("server p listed DRAINING");
            Thread.sleep(DRAIN_GRACE_MS + 100); // the connection comes up later than the grace ends
            primary.startupGate.countDown();
            assertThat(second.readResponse()).as(net::log).startsWith("53300");
            assertThat(primary.pendingQueries).as("attempts after the grace").isEmpty();
            inHand.sendRow(new byte[] {7}); // what it has begun it ends
            assertThat(first.readResponse()).isEqualTo(ROW_7);
        }
    }

    @Test
    void aHealthCheckThatWaitedForItsConnectionIsNotWrittenToAServerThatDrainsByThen() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").answerReads()) {
            FakeDatabaseServer draining = net.servers.get("r1");
            draining.startupGate = new CountDownLatch(1);
            net.start();
            draining.acceptedConnections.clear();
            TestClient client = net.connect();
            while (draining.acceptedConnections.isEmpty()) {
                assertThat(net.readWithRetries(client)).as(net::log).isEqualTo(ROW_7);
                Thread.sleep(5);
            }
            net.discovery.updates.add(net.endpointList(2, false, "r1:DRAINING"));
            net.awaitLog("server r1 listed DRAINING");
            Thread.sleep(DRAIN_GRACE_MS + 100);
            draining.startupGate.countDown();
            Thread.sleep(300); // many times what a written check takes
            assertThat(draining.healthChecks).as(net::log).isZero();
        }
    }

    @Test
    void whatComesWhileTheGatewayIsHeldUpAndItsServerBeginsToDrainIsForwardedWithinTheGraceOrNot() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").answerReads().start()) {
            FakeDatabaseServer draining = net.servers.get("r1");
            draining.answersReads = false;
            try (AnsweringServer answers = new AnsweringServer(draining, got -> got.sendRow(new byte[] {7}))) {
                TestClient client = net.connect();
                for (int i = 0; i < 20; i++) {
                    assertThat(net.readWithRetries(client)).as(net::log).isEqualTo(ROW_7);
                }
                net.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
                net.pauseLoopWhileReading();
                net.discovery.updates.add(net.endpointList(2, false, "r1:DRAINING"));
                long told = System.nanoTime();
                for (int i = 0; i < 8; i++) {
                    client.sendQuery(net.queryText("page"));
                }
                Thread.sleep(HELD_UP_MS); // the pause itself
                net.resume();
                for (int i = 0; i < 8; i++) {
                    assertThat(client.readResponse()).as(net::log).isEqualTo(ROW_7);
                }
                net.awaitLog("server r1 listed DRAINING");
                assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - told))
                        .as(net::log)
                        .isLessThan(DRAIN_GRACE_MS);
                int before = answers.queries.size();
                for (int i = 0; i < 50; i++) {
                    assertThat(net.readWithRetries(client)).as(net::log).isEqualTo(ROW_7);
                }
                assertThat(answers.queries).hasSize(before);
            }
        }
    }
}
