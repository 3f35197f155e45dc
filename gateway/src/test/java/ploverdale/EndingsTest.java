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

/** Stories of what meets an end: each holds one side back until the event that it is to meet. docs/endings.md has them in order. */
@Timeout(120)
class EndingsTest {
    private static final String ROW_7 = "row 07 ready";
    private static final long TOLD_WITHIN_MS = 6000; // after discovery had a change and could be reached

    private static Buffer begun(int length) {
        return Buffer.buffer().appendByte((byte) 'Q').appendInt(length).appendString("SELECT");
    }

    private static long since(long began) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
    }

    @Test
    void aClientThatAskedForMuchAtOnceAndWentIsSeenToHaveGone() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer p = net.servers.get("p");
            TestClient c = net.connect();
            for (int i = 0; i < 60; i++) {
                c.sendQuery(net.queryText("order"));
                Thread.sleep(2); // so that each is read by itself
            }
            List<ReceivedQuery> out = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                out.add(p.nextQuery()); // as many as are taken before the first answer
            }
            long gone = System.nanoTime();
            c.close();
            for (ReceivedQuery g : out) {
                g.awaitClosedByGateway();
            }
            assertThat(since(gone)).as(net::log).isLessThan(5000); // not when their time is up
            assertThat(p.pendingQueries).isEmpty();
        }
    }

    @Test
    void whatAClientStillWritesDoesNotTakeBackTheAnswersBeforeAnEnd() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer p = net.servers.get("p");
            TestClient c = new TestClient(net.gateway.port(), 4000).completeStartup(); // takes little at a time
            c.sendQuery(net.queryText("order"));
            ReceivedQuery g = p.nextQuery();
            Thread writes = new Thread(() -> {
                try {
                    c.write(Buffer.buffer().appendByte((byte) '?').appendInt(4));
                    for (int i = 0; i < 2000; i++) {
                        c.write(Buffer.buffer(new byte[100_000]));
                    }
                } catch (IOException e) {
                    return; // what it writes is of no use to anybody
                }
            });
            writes.start();
            net.awaitLog("bad input from a client");
            g.sendRow(new byte[60_000]);
            Thread.sleep(200); // the gateway has written its last by now, and most of it is still on its way
            assertThat(c.readResponse()).as(net::log).isEqualTo("row " + "00".repeat(60_000) + " ready");
            assertThat(c.readResponse()).isEqualTo("08P01 closed");
            assertThat(c.readUntilClosed()).as(net::log).isEqualTo("end");
            c.close();
            writes.join(TimeUnit.SECONDS.toMillis(GatewayTestFixture.TIMEOUT_S));
        }
    }

    @Test
    void aSendThatWaitsForItsConnectionIsNotWrittenForAClientThatHasGone() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            net.configurationEdit =
                    told -> told.replace("\"cancel\":true", "\"cancel\":false"); // nothing may be called off here
            net.start();
            FakeDatabaseServer p = net.servers.get("p");
            TestClient other = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery first = p.nextQuery(); // has the connection that the probe opened
            p.startupGate = new CountDownLatch(1);
            p.acceptedConnections.clear();
            TestClient c = net.connect().sendQuery(net.queryText("order"));
            assertThat(p.acceptedConnections.poll(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isNotNull();
            c.close();
            other.sendQuery(net.queryText("order"));
            first.sendRow(new byte[] {7}); // read after the close
            assertThat(other.readResponse()).isEqualTo(ROW_7);
            p.startupGate.countDown();
            ReceivedQuery next = p.nextQuery();
            assertThat(next.text()).contains("id=3,");
            next.sendRow(new byte[] {7});
            assertThat(other.readResponse()).isEqualTo(ROW_7);
            assertThat(p.pendingQueries).isEmpty();
        }
    }

    @Test
    void whatWasAskedAndLeftWhileTheGatewayStoodStillIsNotSentOn() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer p = net.servers.get("p");
            CountDownLatch still = new CountDownLatch(1);
            CountDownLatch on = new CountDownLatch(1);
            List<TestClient> left = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                left.add(net.connect());
            }
            net.gateway.runOnLoop(() -> {
                still.countDown();
                try {
                    on.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            still.await();
            for (TestClient c : left) {
                c.sendQuery(net.queryText("order")).close();
            }
            Thread.sleep(500); // the standstill itself
            on.countDown();
            TestClient c = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery g = p.nextQuery();
            assertThat(g.text()).as(net::log).contains("id=b,");
            g.sendRow(new byte[] {7});
            assertThat(c.readResponse()).isEqualTo(ROW_7);
            assertThat(p.pendingQueries).isEmpty();
        }
    }

    private static List<TestClient> clients(GatewayTestFixture net, int many) throws IOException {
        List<TestClient> all = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            all.add(net.connect());
        }
        return all;
    }

    @Test
    void whatWasAskedDuringAPauseIsAnsweredAlsoWhereIdleConnectionsAreToEnd() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start(512, 30_000)) {
            net.servers.get("p").answersWrites = true;
            List<TestClient> idle = clients(net, 80);
            net.pauseLoopBeforeTimers(
                    () -> net.reloadConfiguration(256)); // 80 clients are too many then, and idle ones end
            for (TestClient c : idle) {
                c.sendQuery(net.queryText("order"));
            }
            Thread.sleep(400); // the pause itself, longer than idle ones are left then
            net.resume();
            for (TestClient c : idle) {
                assertThat(c.readResponse()).as(net::log).isEqualTo(ROW_7);
            }
            net.awaitLog("256 descriptors");
        }
    }

    @Test
    void whatWasAskedDuringAPauseIsAnsweredAlsoWhereAPlannedRestartEndsIdleConnections() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            net.servers.get("p").answersWrites = true;
            List<TestClient> idle = clients(net, 20);
            CountDownLatch ended = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            net.awaitLog("planned restart: 20 connections");
            net.pauseLoopBeforeTimers(() -> {});
            for (TestClient c : idle) {
                c.sendQuery(net.queryText("order"));
            }
            Thread.sleep(2600); // so that idle ones are to end by then
            net.resume();
            for (TestClient c : idle) { // refused, since no server has been heard for so long
                assertThat(c.readResponse()).as(net::log).matches("53300 after \\d+ ready");
                assertThat(c.readResponse()).isEqualTo("closed");
            }
            assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isTrue();
        }
    }

    @Test
    void whoGreetedAndAskedDuringAPauseIsAnsweredAlsoWhereThoseWithoutAGreetingAreToEnd() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start(512, 30_000)) {
            net.servers.get("p").answersWrites = true;
            List<TestClient> strangers = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                strangers.add(new TestClient(net.gateway.port()));
            }
            net.connect(); // greeted behind those, so they have been let in
            net.pauseLoopBeforeTimers(() -> net.reloadConfiguration(64)); // 20 without a greeting are too many then
            for (TestClient c : strangers) {
                c.write(MessageWriter.startup()).sendQuery(net.queryText("order"));
            }
            Thread.sleep(400); // the pause itself
            net.resume();
            for (TestClient c : strangers) {
                assertThat(c.readResponse()).as(net::log).isEqualTo("ready");
                assertThat(c.readResponse()).as(net::log).isEqualTo(ROW_7);
                c.close();
            }
            net.awaitLog("64 descriptors");
        }
    }

    @Test
    void anAnswerThatCameDuringAPauseCountsThoughItsAttemptTimedOutMeanwhile() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient c =
                    net.connect().sendQuery(net.queryText("quick", 5000)); // an attempt is given up after some 600 ms
            ReceivedQuery g = net.servers.get("p").nextQuery();
            net.pauseLoopWhileReading();
            g.sendRow(new byte[] {7});
            Thread.sleep(800); // the pause itself
            net.resume();
            assertThat(c.readResponse()).as(net::log).isEqualTo(ROW_7);
        }
    }

    @Test
    void aMessageInPiecesIsRefusedBeforeAPlannedRestartEnds() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").answerReads()) {
            net.configurationEdit =
                    told -> told.replace("\"deadlineMs\":20000", "\"deadlineMs\":1000"); // it ends after 1.7 s
            net.start();
            TestClient c = net.connect();
            CountDownLatch ended = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            net.awaitLog("planned restart: 1 connections");
            c.write(begun(200)); // its own time for being whole, 2.2 s, is later than the end
            assertThat(c.readResponse()).as(net::log).isEqualTo("57P03 closed");
            assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isTrue();
        }
    }

    @Test
    void aWatchThatFallsSilentAtOnceIsGivenUpInTime() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").start()) {
            net.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000"); // never answered
            long silent = System.nanoTime();
            net.discovery.firstWatchResponse = net.endpointList(2, false, "r1:DRAINING");
            net.awaitLog("server r1 listed DRAINING");
            assertThat(since(silent)).as(net::log).isLessThan(TOLD_WITHIN_MS);
        }
    }

    @Test
    void whatDiscoveryHasAtItsReturnIsHeardInTimeHoweverLongItWasAway() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").start()) {
            net.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
            net.discovery.unresponsive = true;
            net.awaitLog("discovery lost: no answer");
            for (int i = 0; i < 5; i++) { // so many further calls have failed
                assertThat(net.discovery.requestedUris.poll(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                        .as(net::log)
                        .isNotNull();
            }
            net.discovery.firstWatchResponse = net.endpointList(2, false, "r1:DRAINING");
            net.discovery.unresponsive = false;
            long back = System.nanoTime();
            net.awaitLog("server r1 listed DRAINING");
            assertThat(since(back))
                    .as(net::log)
                    .isLessThan(
                            4000); // 1.8 s, a call that is out and the wait behind it, on a machine that may be slow
        }
    }

    @Test
    void aServerThatTellsEverMoreOnAConnectionThatNobodyUsesLosesIt() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient c = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery g = net.servers.get("p").nextQuery();
            Buffer notices = Buffer.buffer();
            for (int i = 0; i < 1100; i++) {
                notices.appendByte((byte) 'N').appendInt(5).appendByte((byte) 0);
            }
            g.sendRow(new byte[] {7});
            assertThat(c.readResponse()).isEqualTo(ROW_7);
            FakeDatabaseServer.write(g.socket(), notices, false);
            long began = System.nanoTime();
            g.awaitClosedByGateway();
            assertThat(since(began)).isLessThan(5000); // not when it has been idle for long
            net.awaitLog("values and notices beside an answer");
        }
    }

    @Test
    void aProcessStartedWhereHangUpsAreIgnoredSaysThatItWillNotReadNewConfigurations() throws Exception {
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
