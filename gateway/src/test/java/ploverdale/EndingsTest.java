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
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            FakeDatabaseServer p = net.servers.get("p");
            TestClient c = net.client();
            for (int i = 0; i < 60; i++) {
                c.ask(net.request("order"));
                Thread.sleep(2); // so that each is read by itself
            }
            List<ReceivedQuery> out = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                out.add(p.next()); // as many as are taken before the first answer
            }
            long gone = System.nanoTime();
            c.close();
            for (ReceivedQuery g : out) {
                g.endedByGateway();
            }
            assertThat(since(gone)).as(net::log).isLessThan(5000); // not when their time is up
            assertThat(p.got).isEmpty();
        }
    }

    @Test
    void whatAClientStillWritesDoesNotTakeBackTheAnswersBeforeAnEnd() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            FakeDatabaseServer p = net.servers.get("p");
            TestClient c = new TestClient(net.gateway.port(), 4000).greeted(); // takes little at a time
            c.ask(net.request("order"));
            ReceivedQuery g = p.next();
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
            net.logged("bad input from a client");
            g.row(new byte[60_000]);
            Thread.sleep(200); // the gateway has written its last by now, and most of it is still on its way
            assertThat(c.answer()).as(net::log).isEqualTo("row " + "00".repeat(60_000) + " ready");
            assertThat(c.answer()).isEqualTo("08P01 closed");
            assertThat(c.howItEnds()).as(net::log).isEqualTo("end");
            c.close();
            writes.join(TimeUnit.SECONDS.toMillis(GatewayTestFixture.PATIENCE_S));
        }
    }

    @Test
    void aSendThatWaitsForItsConnectionIsNotWrittenForAClientThatHasGone() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            net.settings =
                    told -> told.replace("\"cancel\":true", "\"cancel\":false"); // nothing may be called off here
            net.started();
            FakeDatabaseServer p = net.servers.get("p");
            TestClient other = net.client().ask(net.request("order"));
            ReceivedQuery first = p.next(); // has the connection that the probe opened
            p.holdsGreetings = new CountDownLatch(1);
            p.connects.clear();
            TestClient c = net.client().ask(net.request("order"));
            assertThat(p.connects.poll(GatewayTestFixture.PATIENCE_S, TimeUnit.SECONDS)).isNotNull();
            c.close();
            other.ask(net.request("order"));
            first.row(new byte[] {7}); // read after the close
            assertThat(other.answer()).isEqualTo(ROW_7);
            p.holdsGreetings.countDown();
            ReceivedQuery next = p.next();
            assertThat(next.text()).contains("id=3,");
            next.row(new byte[] {7});
            assertThat(other.answer()).isEqualTo(ROW_7);
            assertThat(p.got).isEmpty();
        }
    }

    @Test
    void whatWasAskedAndLeftWhileTheGatewayStoodStillIsNotSentOn() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            FakeDatabaseServer p = net.servers.get("p");
            CountDownLatch still = new CountDownLatch(1);
            CountDownLatch on = new CountDownLatch(1);
            List<TestClient> left = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                left.add(net.client());
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
                c.ask(net.request("order")).close();
            }
            Thread.sleep(500); // the standstill itself
            on.countDown();
            TestClient c = net.client().ask(net.request("order"));
            ReceivedQuery g = p.next();
            assertThat(g.text()).as(net::log).contains("id=b,");
            g.row(new byte[] {7});
            assertThat(c.answer()).isEqualTo(ROW_7);
            assertThat(p.got).isEmpty();
        }
    }

    private static List<TestClient> clients(GatewayTestFixture net, int many) throws IOException {
        List<TestClient> all = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            all.add(net.client());
        }
        return all;
    }

    @Test
    void whatWasAskedDuringAPauseIsAnsweredAlsoWhereIdleConnectionsAreToEnd() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started(512, 30_000)) {
            net.servers.get("p").writes = true;
            List<TestClient> idle = clients(net, 80);
            net.pauseBeforeTimers(() -> net.renew(256)); // 80 clients are too many then, and idle ones end
            for (TestClient c : idle) {
                c.ask(net.request("order"));
            }
            Thread.sleep(400); // the pause itself, longer than idle ones are left then
            net.goOn();
            for (TestClient c : idle) {
                assertThat(c.answer()).as(net::log).isEqualTo(ROW_7);
            }
            net.logged("256 descriptors");
        }
    }

    @Test
    void whatWasAskedDuringAPauseIsAnsweredAlsoWhereAPlannedRestartEndsIdleConnections() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            net.servers.get("p").writes = true;
            List<TestClient> idle = clients(net, 20);
            CountDownLatch ended = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            net.logged("planned restart: 20 connections");
            net.pauseBeforeTimers(() -> {});
            for (TestClient c : idle) {
                c.ask(net.request("order"));
            }
            Thread.sleep(2600); // so that idle ones are to end by then
            net.goOn();
            for (TestClient c : idle) { // refused, since no server has been heard for so long
                assertThat(c.answer()).as(net::log).matches("53300 after \\d+ ready");
                assertThat(c.answer()).isEqualTo("closed");
            }
            assertThat(ended.await(GatewayTestFixture.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Test
    void whoGreetedAndAskedDuringAPauseIsAnsweredAlsoWhereThoseWithoutAGreetingAreToEnd() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started(512, 30_000)) {
            net.servers.get("p").writes = true;
            List<TestClient> strangers = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                strangers.add(new TestClient(net.gateway.port()));
            }
            net.client(); // greeted behind those, so they have been let in
            net.pauseBeforeTimers(() -> net.renew(64)); // 20 without a greeting are too many then
            for (TestClient c : strangers) {
                c.write(MessageWriter.startup()).ask(net.request("order"));
            }
            Thread.sleep(400); // the pause itself
            net.goOn();
            for (TestClient c : strangers) {
                assertThat(c.answer()).as(net::log).isEqualTo("ready");
                assertThat(c.answer()).as(net::log).isEqualTo(ROW_7);
                c.close();
            }
            net.logged("64 descriptors");
        }
    }

    @Test
    void anAnswerThatCameDuringAPauseCountsThoughItsAttemptTimedOutMeanwhile() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            TestClient c = net.client().ask(net.request("quick", 5000)); // an attempt is given up after some 600 ms
            ReceivedQuery g = net.servers.get("p").next();
            net.pauseWhileReading();
            g.row(new byte[] {7});
            Thread.sleep(800); // the pause itself
            net.goOn();
            assertThat(c.answer()).as(net::log).isEqualTo(ROW_7);
        }
    }

    @Test
    void aMessageInPiecesIsRefusedBeforeAPlannedRestartEnds() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").readable()) {
            net.settings = told -> told.replace("\"deadlineMs\":20000", "\"deadlineMs\":1000"); // it ends after 1.7 s
            net.started();
            TestClient c = net.client();
            CountDownLatch ended = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            net.logged("planned restart: 1 connections");
            c.write(begun(200)); // its own time for being whole, 2.2 s, is later than the end
            assertThat(c.answer()).as(net::log).isEqualTo("57P03 closed");
            assertThat(ended.await(GatewayTestFixture.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Test
    void aWatchThatFallsSilentAtOnceIsGivenUpInTime() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").started()) {
            net.registry.asked("/registry/instances?from=1&hold_ms=2000"); // never answered
            long silent = System.nanoTime();
            net.registry.changes = net.list(2, false, "r1:DRAINING");
            net.logged("server r1 listed DRAINING");
            assertThat(since(silent)).as(net::log).isLessThan(TOLD_WITHIN_MS);
        }
    }

    @Test
    void whatDiscoveryHasAtItsReturnIsHeardInTimeHoweverLongItWasAway() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").started()) {
            net.registry.asked("/registry/instances?from=1&hold_ms=2000");
            net.registry.mute = true;
            net.logged("discovery lost: no answer");
            for (int i = 0; i < 5; i++) { // so many further calls have failed
                assertThat(net.registry.asked.poll(GatewayTestFixture.PATIENCE_S, TimeUnit.SECONDS))
                        .as(net::log)
                        .isNotNull();
            }
            net.registry.changes = net.list(2, false, "r1:DRAINING");
            net.registry.mute = false;
            long back = System.nanoTime();
            net.logged("server r1 listed DRAINING");
            assertThat(since(back))
                    .as(net::log)
                    .isLessThan(
                            4000); // 1.8 s, a call that is out and the wait behind it, on a machine that may be slow
        }
    }

    @Test
    void aServerThatTellsEverMoreOnAConnectionThatNobodyUsesLosesIt() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            TestClient c = net.client().ask(net.request("order"));
            ReceivedQuery g = net.servers.get("p").next();
            Buffer notices = Buffer.buffer();
            for (int i = 0; i < 1100; i++) {
                notices.appendByte((byte) 'N').appendInt(5).appendByte((byte) 0);
            }
            g.row(new byte[] {7});
            assertThat(c.answer()).isEqualTo(ROW_7);
            FakeDatabaseServer.write(g.socket(), notices, false);
            long began = System.nanoTime();
            g.endedByGateway();
            assertThat(since(began)).isLessThan(5000); // not when it has been idle for long
            net.logged("values and notices beside an answer");
        }
    }

    @Test
    void aProcessStartedWhereHangUpsAreIgnoredSaysThatItWillNotReadNewConfigurations() throws Exception {
        Path file = Files.createTempFile("gateway", ".json");
        Path log = Files.createTempFile("gateway", ".log");
        Process gateway = null;
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            Files.writeString(file, GatewayTestFixture.configuration(net.registry, 256, 30_000));
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
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.PATIENCE_S);
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
