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
        try (Net net = new Net("p").started()) {
            Server primary = net.servers.get("p");
            Client client = net.client();
            for (int i = 0; i < 60; i++) {
                client.ask(net.request("order"));
                Thread.sleep(2); // so that the gateway reads each of them separately
            }
            List<Got> inFlight = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                inFlight.add(primary.next()); // as many as are forwarded before the first answer
            }
            long closedAt = System.nanoTime();
            client.close();
            for (Got query : inFlight) {
                query.endedByGateway();
            }
            assertThat(msSince(closedAt)).as(net::log).isLessThan(5000); // long before their deadlines
            assertThat(primary.got).isEmpty();
        }
    }

    @Test
    void answersArriveInFullThoughTheClientKeepsWritingAfterAProtocolError() throws Exception {
        try (Net net = new Net("p").started()) {
            Server primary = net.servers.get("p");
            Client client = new Client(net.gateway.port(), 4000).greeted(); // a small receive buffer
            client.ask(net.request("order"));
            Got query = primary.next();
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
            net.logged("bad input from a client");
            query.row(new byte[60_000]);
            Thread.sleep(200); // the gateway has written everything by now; most of it has not reached the client
            assertThat(client.answer()).as(net::log).isEqualTo("row " + "00".repeat(60_000) + " ready");
            assertThat(client.answer()).isEqualTo("08P01 closed");
            assertThat(client.howItEnds()).as(net::log).isEqualTo("end");
            client.close();
            writer.join(TimeUnit.SECONDS.toMillis(Net.PATIENCE_S));
        }
    }

    @Test
    void anAttemptWaitingForAConnectionIsNotWrittenOnceItsClientHasClosed() throws Exception {
        try (Net net = new Net("p")) {
            // The router can't cancel attempts.
            net.settings = configuration -> configuration.replace("\"cancel\":true", "\"cancel\":false");
            net.started();
            Server primary = net.servers.get("p");
            Client other = net.client().ask(net.request("order"));
            Got first = primary.next(); // uses the connection that the health check opened
            primary.holdsGreetings = new CountDownLatch(1);
            primary.connects.clear();
            Client client = net.client().ask(net.request("order"));
            assertThat(primary.connects.poll(Net.PATIENCE_S, TimeUnit.SECONDS)).isNotNull();
            client.close();
            other.ask(net.request("order"));
            first.row(new byte[] {7}); // the gateway reads this after the close
            assertThat(other.answer()).isEqualTo(ROW_7);
            primary.holdsGreetings.countDown();
            Got next = primary.next();
            assertThat(next.text()).contains("id=3,");
            next.row(new byte[] {7});
            assertThat(other.answer()).isEqualTo(ROW_7);
            assertThat(primary.got).isEmpty();
        }
    }

    @Test
    void requestsWhoseClientsClosedDuringAPauseAreNotForwarded() throws Exception {
        try (Net net = new Net("p").started()) {
            Server primary = net.servers.get("p");
            CountDownLatch paused = new CountDownLatch(1);
            CountDownLatch resume = new CountDownLatch(1);
            List<Client> leavingClients = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                leavingClients.add(net.client());
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
            for (Client client : leavingClients) {
                client.ask(net.request("order")).close();
            }
            Thread.sleep(500); // duration of the pause
            resume.countDown();
            Client client = net.client().ask(net.request("order"));
            Got query = primary.next();
            assertThat(query.text()).as(net::log).contains("id=b,");
            query.row(new byte[] {7});
            assertThat(client.answer()).isEqualTo(ROW_7);
            assertThat(primary.got).isEmpty();
        }
    }

    private static List<Client> connectClients(Net net, int count) throws IOException {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(net.client());
        }
        return clients;
    }

    @Test
    void requestsSentDuringAPauseAreAnsweredThoughIdleConnectionsAreToBeEvicted() throws Exception {
        try (Net net = new Net("p").started(512, 30_000)) {
            net.servers.get("p").writes = true;
            List<Client> idle = connectClients(net, 80);
            net.pauseBeforeTimers(() -> net.renew(256)); // too few for 80 clients, so idle connections are evicted
            for (Client client : idle) {
                client.ask(net.request("order"));
            }
            Thread.sleep(400); // duration of the pause, longer than the idle time after which they are evicted
            net.goOn();
            for (Client client : idle) {
                assertThat(client.answer()).as(net::log).isEqualTo(ROW_7);
            }
            net.logged("256 descriptors");
        }
    }

    @Test
    void requestsSentDuringAPauseAreAnsweredThoughAShutdownClosesIdleConnections() throws Exception {
        try (Net net = new Net("p").started()) {
            net.servers.get("p").writes = true;
            List<Client> idle = connectClients(net, 20);
            CountDownLatch shutdownEnded = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(shutdownEnded));
            net.logged("planned restart: 20 connections");
            net.pauseBeforeTimers(() -> {});
            for (Client client : idle) {
                client.ask(net.request("order"));
            }
            Thread.sleep(2600); // duration of the pause; idle connections are due to close before it ends
            net.goOn();
            for (Client client : idle) { // rejected: no server was heard from during the pause
                assertThat(client.answer()).as(net::log).matches("53300 after \\d+ ready");
                assertThat(client.answer()).isEqualTo("closed");
            }
            assertThat(shutdownEnded.await(Net.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Test
    void clientsThatStartUpDuringAPauseAreAnsweredThoughPreStartupConnectionsAreToBeEvicted() throws Exception {
        try (Net net = new Net("p").started(512, 30_000)) {
            net.servers.get("p").writes = true;
            List<Client> preStartupClients = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                preStartupClients.add(new Client(net.gateway.port()));
            }
            net.client(); // connected after the others, so those have been accepted too
            net.pauseBeforeTimers(() -> net.renew(64)); // too few for 20 pre-startup connections, so these are evicted
            for (Client client : preStartupClients) {
                client.write(MessageWriter.startup()).ask(net.request("order"));
            }
            Thread.sleep(400); // duration of the pause
            net.goOn();
            for (Client client : preStartupClients) {
                assertThat(client.answer()).as(net::log).isEqualTo("ready");
                assertThat(client.answer()).as(net::log).isEqualTo(ROW_7);
                client.close();
            }
            net.logged("64 descriptors");
        }
    }

    @Test
    void anAnswerReceivedDuringAPauseIsUsedThoughItsAttemptTimedOutMeanwhile() throws Exception {
        try (Net net = new Net("p").started()) {
            Client client = net.client().ask(net.request("quick", 5000)); // an attempt times out after about 600 ms
            Got query = net.servers.get("p").next();
            net.pauseWhileReading();
            query.row(new byte[] {7});
            Thread.sleep(800); // duration of the pause
            net.goOn();
            assertThat(client.answer()).as(net::log).isEqualTo(ROW_7);
        }
    }

    @Test
    void anIncompleteMessageIsAnsweredWithAnErrorBeforeAGracefulShutdownEnds() throws Exception {
        try (Net net = new Net("p", "r1").readable()) {
            // The shutdown ends after 1.7 s.
            net.settings = configuration -> configuration.replace("\"deadlineMs\":20000", "\"deadlineMs\":1000");
            net.started();
            Client client = net.client();
            CountDownLatch shutdownEnded = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(shutdownEnded));
            net.logged("planned restart: 1 connections");
            // An incomplete message would time out after 2.2 s, later than the shutdown ends.
            client.write(startOfQuery(200));
            assertThat(client.answer()).as(net::log).isEqualTo("57P03 closed");
            assertThat(shutdownEnded.await(Net.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Test
    void aWatchThatIsNeverAnsweredIsAbandonedInTime() throws Exception {
        try (Net net = new Net("p", "r1").started()) {
            net.registry.asked("/registry/instances?from=1&hold_ms=2000"); // never answered
            long watchStarted = System.nanoTime();
            net.registry.changes = net.list(2, false, "r1:DRAINING");
            net.logged("server r1 listed DRAINING");
            assertThat(msSince(watchStarted)).as(net::log).isLessThan(CHANGE_WITHIN_MS);
        }
    }

    @Test
    void aChangeIsReceivedInTimeAfterAnOutageOfDiscovery() throws Exception {
        try (Net net = new Net("p", "r1").started()) {
            net.registry.asked("/registry/instances?from=1&hold_ms=2000");
            net.registry.mute = true;
            net.logged("discovery lost: no answer");
            for (int i = 0; i < 5; i++) { // until this many further calls have failed
                assertThat(net.registry.asked.poll(Net.PATIENCE_S, TimeUnit.SECONDS))
                        .as(net::log)
                        .isNotNull();
            }
            net.registry.changes = net.list(2, false, "r1:DRAINING");
            net.registry.mute = false;
            long reachable = System.nanoTime();
            net.logged("server r1 listed DRAINING");
            assertThat(msSince(reachable))
                    .as(net::log)
                    .isLessThan(
                            4000); // 1.8 s for a call in flight and the delay after it, and slack for a slow machine
        }
    }

    @Test
    void aServerThatSendsTooManyNoticesOnAnIdleConnectionLosesIt() throws Exception {
        try (Net net = new Net("p").started()) {
            Client client = net.client().ask(net.request("order"));
            Got query = net.servers.get("p").next();
            Buffer notices = Buffer.buffer();
            for (int i = 0; i < 1100; i++) {
                notices.appendByte((byte) 'N').appendInt(5).appendByte((byte) 0);
            }
            query.row(new byte[] {7});
            assertThat(client.answer()).isEqualTo(ROW_7);
            Server.write(query.socket(), notices, false);
            long noticesWritten = System.nanoTime();
            query.endedByGateway();
            assertThat(msSince(noticesWritten)).isLessThan(5000); // long before the idle timeout
            net.logged("values and notices beside an answer");
        }
    }

    @Test
    void aProcessStartedWithSighupIgnoredLogsThatItWillNotReadNewConfigurations() throws Exception {
        Path file = Files.createTempFile("gateway", ".json");
        Path log = Files.createTempFile("gateway", ".log");
        Process gateway = null;
        try (Net net = new Net("p")) {
            Files.writeString(file, Net.configuration(net.registry, 256, 30_000));
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
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Net.PATIENCE_S);
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
