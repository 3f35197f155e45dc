package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ploverdale.net.postgres.MessageWriter;

/**
 * Checks requests and connections that end while something else happens: an answer is on its way, the process is
 * paused, descriptors run out, the gateway shuts down, discovery is away. Each test holds one side back until that
 * event. docs/endings.md lists the cases in order.
 */
@Timeout(120)
class EndingsTest {
    private static final String ROW_7 = "row 07 ready";
    /** Time in which a change takes effect once discovery has it and can be reached. */
    private static final long CHANGE_WITHIN_MS = 6000;

    /** Returns the first bytes of a query message of the given length. */
    private static Buffer startOfQuery(int length) {
        return Buffer.buffer().appendByte((byte) 'Q').appendInt(length).appendString("SELECT");
    }

    private static long msSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    @Test
    void attemptsAreCancelledWhenAClientWithManyPipelinedRequestsCloses() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer primary = net.servers.get("p");
            TestClient client = net.connect();
            for (int i = 0; i < 60; i++) {
                client.sendQuery(net.queryText("order"));
                Thread.sleep(2); // so that the gateway reads each of them separately
            }
            List<ReceivedQuery> inFlight = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                inFlight.add(primary.nextQuery()); // as many as are forwarded before the first answer
            }
            long closedAt = System.nanoTime();
            client.close();
            for (ReceivedQuery query : inFlight) {
                query.awaitClosedByGateway();
            }
            assertThat(msSince(closedAt)).as(net::log).isLessThan(5000); // long before their deadlines
            assertThat(primary.pendingQueries).isEmpty();
        }
    }

    @Test
    void answersArriveInFullThoughTheClientKeepsWritingAfterAProtocolError() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer primary = net.servers.get("p");
            TestClient client = new TestClient(net.gateway.port(), 4000).completeStartup(); // a small receive buffer
            client.sendQuery(net.queryText("order"));
            ReceivedQuery query = primary.nextQuery();
            Thread writer = new Thread(() -> {
                try {
                    client.write(Buffer.buffer().appendByte((byte) '?').appendInt(4));
                    for (int i = 0; i < 2000; i++) {
                        client.write(Buffer.buffer(new byte[100_000]));
                    }
                } catch (IOException e) {
                    return; // expected: the gateway closes the connection
                }
            });
            writer.start();
            net.awaitLog("bad input from a client");
            query.sendRow(new byte[60_000]);
            Thread.sleep(200); // the gateway has written everything by now; most of it has not reached the client
            assertThat(client.readResponse()).as(net::log).isEqualTo("row " + "00".repeat(60_000) + " ready");
            assertThat(client.readResponse()).isEqualTo("08P01 closed");
            assertThat(client.readUntilClosed()).as(net::log).isEqualTo("end");
            client.close();
            writer.join(TimeUnit.SECONDS.toMillis(GatewayTestFixture.TIMEOUT_S));
        }
    }

    @Test
    void anAttemptWaitingForAConnectionIsNotWrittenOnceItsClientHasClosed() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            // The router can't cancel attempts.
            net.configurationEdit = configuration -> configuration.replace("\"cancel\":true", "\"cancel\":false");
            net.start();
            FakeDatabaseServer primary = net.servers.get("p");
            TestClient other = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery first = primary.nextQuery(); // uses the connection that the health check opened
            primary.startupGate = new CountDownLatch(1);
            primary.acceptedConnections.clear();
            TestClient client = net.connect().sendQuery(net.queryText("order"));
            assertThat(primary.acceptedConnections.poll(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isNotNull();
            client.close();
            other.sendQuery(net.queryText("order"));
            first.sendRow(new byte[] {7}); // the gateway reads this after the close
            assertThat(other.readResponse()).isEqualTo(ROW_7);
            primary.startupGate.countDown();
            ReceivedQuery next = primary.nextQuery();
            assertThat(next.text()).contains("id=3,");
            next.sendRow(new byte[] {7});
            assertThat(other.readResponse()).isEqualTo(ROW_7);
            assertThat(primary.pendingQueries).isEmpty();
        }
    }

    @Test
    void requestsWhoseClientsClosedDuringAPauseAreNotForwarded() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer primary = net.servers.get("p");
            CountDownLatch paused = new CountDownLatch(1);
            CountDownLatch resume = new CountDownLatch(1);
            List<TestClient> leavingClients = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                leavingClients.add(net.connect());
            }
            net.gateway.runOnLoop(() -> {
                paused.countDown();
                try {
                    resume.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            paused.await();
            for (TestClient client : leavingClients) {
                client.sendQuery(net.queryText("order")).close();
            }
            Thread.sleep(500); // duration of the pause
            resume.countDown();
            TestClient client = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery query = primary.nextQuery();
            assertThat(query.text()).as(net::log).contains("id=b,");
            query.sendRow(new byte[] {7});
            assertThat(client.readResponse()).isEqualTo(ROW_7);
            assertThat(primary.pendingQueries).isEmpty();
        }
    }

    private static List<TestClient> connectClients(GatewayTestFixture net, int count) throws IOException {
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(net.connect());
        }
        return clients;
    }

    @Test
    void requestsSentDuringAPauseAreAnsweredThoughIdleConnectionsAreToBeEvicted() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start(512, 30_000)) {
            net.servers.get("p").answersWrites = true;
            List<TestClient> idle = connectClients(net, 80);
            net.pauseLoopBeforeTimers(
                    () -> net.reloadConfiguration(256)); // too few for 80 clients, so idle connections are evicted
            for (TestClient client : idle) {
                client.sendQuery(net.queryText("order"));
            }
            Thread.sleep(400); // duration of the pause, longer than the idle time after which they are evicted
            net.resume();
            for (TestClient client : idle) {
                assertThat(client.readResponse()).as(net::log).isEqualTo(ROW_7);
            }
            net.awaitLog("256 descriptors");
        }
    }

    @Test
    void requestsSentDuringAPauseAreAnsweredThoughAShutdownClosesIdleConnections() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            net.servers.get("p").answersWrites = true;
            List<TestClient> idle = connectClients(net, 20);
            CountDownLatch shutdownEnded = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(shutdownEnded));
            net.awaitLog("planned restart: 20 connections");
            net.pauseLoopBeforeTimers(() -> {});
            for (TestClient client : idle) {
                client.sendQuery(net.queryText("order"));
            }
            Thread.sleep(2600); // duration of the pause; idle connections are due to close before it ends
            net.resume();
            for (TestClient client : idle) { // rejected: no server was heard from during the pause
                assertThat(client.readResponse()).as(net::log).matches("53300 after \\d+ ready");
                assertThat(client.readResponse()).isEqualTo("closed");
            }
            assertThat(shutdownEnded.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isTrue();
        }
    }

    @Test
    void clientsThatStartUpDuringAPauseAreAnsweredThoughPreStartupConnectionsAreToBeEvicted() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start(512, 30_000)) {
            net.servers.get("p").answersWrites = true;
            List<TestClient> preStartupClients = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                preStartupClients.add(new TestClient(net.gateway.port()));
            }
            net.connect(); // connected after the others, so those have been accepted too
            net.pauseLoopBeforeTimers(
                    () -> net.reloadConfiguration(64)); // too few for 20 pre-startup connections, so these are evicted
            for (TestClient client : preStartupClients) {
                client.write(MessageWriter.startup()).sendQuery(net.queryText("order"));
            }
            Thread.sleep(400); // duration of the pause
            net.resume();
            for (TestClient client : preStartupClients) {
                assertThat(client.readResponse()).as(net::log).isEqualTo("ready");
                assertThat(client.readResponse()).as(net::log).isEqualTo(ROW_7);
                client.close();
            }
            net.awaitLog("64 descriptors");
        }
    }

    @Test
    void anAnswerReceivedDuringAPauseIsUsedThoughItsAttemptTimedOutMeanwhile() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient client =
                    net.connect().sendQuery(net.queryText("quick", 5000)); // an attempt times out after about 600 ms
            ReceivedQuery query = net.servers.get("p").nextQuery();
            net.pauseLoopWhileReading();
            query.sendRow(new byte[] {7});
            Thread.sleep(800); // duration of the pause
            net.resume();
            assertThat(client.readResponse()).as(net::log).isEqualTo(ROW_7);
        }
    }

    @Test
    void anIncompleteMessageIsAnsweredWithAnErrorBeforeAGracefulShutdownEnds() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").answerReads()) {
            // The shutdown ends after 1.7 s.
            net.configurationEdit =
                    configuration -> configuration.replace("\"deadlineMs\":20000", "\"deadlineMs\":1000");
            net.start();
            TestClient client = net.connect();
            CountDownLatch shutdownEnded = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(shutdownEnded));
            net.awaitLog("planned restart: 1 connections");
            // An incomplete message would time out after 2.2 s, later than the shutdown ends.
            client.write(startOfQuery(200));
            assertThat(client.readResponse()).as(net::log).isEqualTo("57P03 closed");
            assertThat(shutdownEnded.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isTrue();
        }
    }

    @Test
    void aWatchThatIsNeverAnsweredIsAbandonedInTime() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").start()) {
            net.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000"); // never answered
            long watchStarted = System.nanoTime();
            net.discovery.firstWatchResponse = net.endpointList(2, false, "r1:DRAINING");
            net.awaitLog("server r1 listed DRAINING");
            assertThat(msSince(watchStarted)).as(net::log).isLessThan(CHANGE_WITHIN_MS);
        }
    }

    @Test
    void aChangeIsReceivedInTimeAfterAnOutageOfDiscovery() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").start()) {
            net.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
            net.discovery.unresponsive = true;
            net.awaitLog("discovery lost: no answer");
            for (int i = 0; i < 5; i++) { // until this many further calls have failed
                assertThat(net.discovery.requestedUris.poll(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                        .as(net::log)
                        .isNotNull();
            }
            net.discovery.firstWatchResponse = net.endpointList(2, false, "r1:DRAINING");
            net.discovery.unresponsive = false;
            long reachable = System.nanoTime();
            net.awaitLog("server r1 listed DRAINING");
            assertThat(msSince(reachable))
                    .as(net::log)
                    .isLessThan(
                            4000); // 1.8 s for a call in flight and the delay after it, and slack for a slow machine
        }
    }

    @Test
    void aServerThatSendsTooManyNoticesOnAnIdleConnectionLosesIt() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient client = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery query = net.servers.get("p").nextQuery();
            Buffer notices = Buffer.buffer();
            for (int i = 0; i < 1100; i++) {
                notices.appendByte((byte) 'N').appendInt(5).appendByte((byte) 0);
            }
            query.sendRow(new byte[] {7});
            assertThat(client.readResponse()).isEqualTo(ROW_7);
            FakeDatabaseServer.write(query.socket(), notices, false);
            long noticesWritten = System.nanoTime();
            query.awaitClosedByGateway();
            assertThat(msSince(noticesWritten)).isLessThan(5000); // long before the idle timeout
            net.awaitLog("values and notices beside an answer");
        }
    }

    @Test
    void aProcessStartedWithSighupIgnoredLogsThatItWillNotReadNewConfigurations() throws Exception {
        Path file = Files.createTempFile("gateway", ".json");
        Path log = Files.createTempFile("gateway", ".log");
        Process gateway = null;
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            Files.writeString(file, GatewayTestFixture.configuration(net.discovery, 256, 30_000));
            gateway = new ProcessBuilder(
                            "sh",
                            "-c",
                            "trap '' HUP; exec \"$@\"",
                            "sh",
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-cp",
                            System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                            "ploverdale.Main",
                            "serve",
                            "--config",
                            file.toString())
                    .redirectError(log.toFile())
                    .start();
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.TIMEOUT_S);
            while (!Files.readString(log).contains("SIGHUP is ignored by what started this program")) {
                assertThat(System.nanoTime()).as(Files.readString(log)).isLessThan(end);
                Thread.sleep(20);
            }
        } finally {
            if (gateway != null) {
                gateway.destroyForcibly();
            }
            Files.delete(file);
            Files.delete(log);
        }
    }
}
