package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ploverdale.net.postgres.MessageWriter;

/**
 * Checks that a gateway process that receives SIGTERM under load answers what it has read and exits by itself. All
 * deadlines are 300 ms, and SIGKILL follows 1.0 s after SIGTERM. Also checks SIGHUP while the process starts.
 */
@Timeout(120)
class ShutdownProcessTest {
    private static final long DEADLINE_MS = 300;
    private static final long KILLED_AFTER_MS = DEADLINE_MS + 700;
    private static final int CLIENTS = 20;
    /** A request sent at most this long before its client saw the close has crossed the close. */
    private static final long CROSSING_MS = 100;

    @TempDir
    Path directory;

    private Path configuration(GatewayTestFixture net) throws IOException {
        String settings = GatewayTestFixture.configuration(net.discovery, 256, 30_000)
                .replace("\"deadlineMs\":20000", "\"deadlineMs\":" + DEADLINE_MS)
                .replace("\"deadlineMs\":1000", "\"deadlineMs\":" + DEADLINE_MS)
                .replace("\"aimMs\":10000", "\"aimMs\":200");
        return Files.writeString(directory.resolve("gateway.json"), settings);
    }

    /**
     * Clients that keep sending requests, reconnect when their connection is closed, and stop when connecting is
     * refused.
     */
    private static final class Load {
        private final int port;
        private final GatewayTestFixture net;
        private final AtomicInteger nextId = new AtomicInteger();
        private final Map<String, String> answers = new ConcurrentHashMap<>();
        private final Map<String, Long> lost = new ConcurrentHashMap<>(); // ms from sending to the close
        private final List<Thread> threads = new ArrayList<>();

        private Load(GatewayTestFixture net, int port) {
            this.net = net;
            this.port = port;
            for (int i = 0; i < CLIENTS; i++) {
                Thread thread = new Thread(this::sendUntilRefused);
                threads.add(thread);
                thread.start();
            }
        }

        private void sendUntilRefused() {
            while (true) {
                try (TestClient client = new TestClient(port)) {
                    client.write(MessageWriter.startup());
                    if (client.readResponse().equals("ready")) {
                        sendUntilClosed(client);
                    }
                } catch (ConnectException e) {
                    return;
                } catch (IOException e) {
                    Thread.onSpinWait(); // the connection was reset before a request was sent on it
                }
            }
        }

        private void sendUntilClosed(TestClient client) throws IOException {
            while (true) {
                String id = "f" + Integer.toHexString(nextId.incrementAndGet());
                long sentNanos = System.nanoTime();
                String answer;
                try {
                    client.sendQuery(net.queryText("order", DEADLINE_MS).replaceAll("id=[0-9a-f]+,", "id=" + id + ","));
                    answer = client.readResponse();
                } catch (IOException e) {
                    answer = "closed";
                }
                if (answer.equals("closed")) {
                    lost.put(id, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos));
                    return;
                }
                answers.put(id, answer);
            }
        }

        private void join() throws InterruptedException {
            for (Thread thread : threads) {
                thread.join();
            }
        }
    }

    /** Returns the ids of the queries that have reached the server, answered or not. */
    private static List<String> forwardedIds(FakeDatabaseServer server) {
        List<String> ids = new ArrayList<>();
        for (ReceivedQuery query = server.pendingQueries.poll(); query != null; query = server.pendingQueries.poll()) {
            ids.add(query.text().replaceAll("(?s).*id=([0-9a-f]+),.*", "$1"));
        }
        return ids;
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void noRequestThatWasReadIsLeftUnansweredAndTheProcessExitsByItself(boolean serversAnswer) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p");
                ServingProcess gateway =
                        ServingProcess.start(directory, ServingProcess.onClassPath(configuration(net)))) {
            FakeDatabaseServer server = net.servers.get("p");
            server.answersWrites = serversAnswer;
            Load load = new Load(net, gateway.port());
            Thread.sleep(1000); // time under load
            CountDownLatch exited = new CountDownLatch(1);
            gateway.process.onExit().thenRun(exited::countDown);
            long sigtermNanos = System.nanoTime();
            gateway.process.destroy();
            boolean exitedByItself = exited.await(
                    KILLED_AFTER_MS * 1_000_000 - (System.nanoTime() - sigtermNanos), TimeUnit.NANOSECONDS);
            gateway.process.destroyForcibly();
            load.join();
            System.out.println("shutdown with deadlines of " + DEADLINE_MS + " ms: "
                    + gateway.line("planned restart: ends") + "; " + load.answers.size() + " answered, "
                    + load.lost.size() + " crossed a close");

            assertThat(exitedByItself).as(gateway.log()).isTrue();
            assertThat(gateway.process.exitValue()).isZero();
            assertThat(gateway.line("planned restart: ends")).contains(" 0 ops unanswered");
            assertThat(load.lost.values()).as(gateway.log()).allMatch(ms -> ms < CROSSING_MS);
            assertThat(forwardedIds(server)).doesNotContainAnyElementsOf(load.lost.keySet());
        }
    }

    @Test
    void aHangUpDuringTheStartIsHandledAfterIt() throws Exception {
        Path file = directory.resolve("gateway.json");
        try (GatewayTestFixture net = new GatewayTestFixture("p");
                FakeDiscovery elsewhere = new FakeDiscovery(net.endpointList(5, true, "p"))) {
            // The gateway does not serve before these health checks are answered.
            net.servers.get("p").healthCheckGate = new CountDownLatch(1);
            Files.writeString(file, GatewayTestFixture.configuration(net.discovery, 256, 30_000));
            try (ServingProcess gateway = ServingProcess.start(directory, ServingProcess.onClassPath(file))) {
                gateway.line("warm-up took");
                Files.writeString(file, GatewayTestFixture.configuration(elsewhere, 256, 30_000));
                gateway.hangUp();
                net.servers.get("p").healthCheckGate.countDown();
                elsewhere.awaitRequest("/registry/instances");
                assertThat(gateway.process.isAlive()).isTrue();
            }
        }
    }
}
