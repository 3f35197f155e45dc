package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A gateway process starts with an endpoint list older than discovery's, while clients already try to connect. */
@Timeout(120)
class StartBeforeDiscoveryAnswersTest {
    private static final String ROW_7 = "row 07 ready";
    private static final int CLIENTS = 4;
    private static final int MIN_PORT = 20_000;
    private static final int MAX_PORT = 30_000;
    private static final long READY_WITHIN_MS = 10_000; // after the start of the process

    @TempDir
    private Path directory;

    private final List<Thread> clients = new ArrayList<>();
    private final AtomicInteger served = new AtomicInteger();

    @AfterEach
    void endClients() {
        clients.forEach(Thread::interrupt);
    }

    private ServingProcess start(GatewayTestFixture fixture, int discoveryPort) throws IOException {
        int port = freePort();
        String configuration = GatewayTestFixture.configuration(fixture.discovery, 256, 30_000)
                .replace("127.0.0.1:0", "127.0.0.1:" + port)
                .replace(
                        "\"discovery\":\"127.0.0.1:" + fixture.discovery.port(),
                        "\"discovery\":\"127.0.0.1:" + discoveryPort);
        Path file = Files.writeString(directory.resolve("gateway.json"), configuration);
        ServingProcess gateway = ServingProcess.start(directory, ServingProcess.onClassPath(file));
        for (int i = 0; i < CLIENTS; i++) {
            Thread client = new Thread(() -> readUntilInterrupted(fixture, port));
            client.setDaemon(true);
            client.start();
            clients.add(client);
        }
        return gateway;
    }

    /** Returns a free port below the ephemeral range, where a connecting client could connect to itself and occupy it. */
    private static int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (IOException occupied) {
                Thread.onSpinWait();
            }
        }
    }

    private void readUntilInterrupted(GatewayTestFixture fixture, int port) {
        while (!Thread.currentThread().isInterrupted()) {
            try (TestClient client = new TestClient(port)) {
                client.completeStartup();
                while (!Thread.currentThread().isInterrupted()) {
                    String answer = client.sendQuery(fixture.queryText("page")).readResponse();
                    served.addAndGet(answer.equals(ROW_7) ? 1 : 0);
                }
            } catch (ConnectException notListening) {
                Thread.onSpinWait();
            } catch (IOException ended) {
                return;
            }
        }
    }

    private void awaitServed(int reads, ServingProcess gateway) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.TIMEOUT_S);
        while (served.get() < reads) {
            assertThat(System.nanoTime())
                    .as("%d reads served:\n%s", served.get(), gateway.log())
                    .isLessThan(end);
            Thread.sleep(5);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 20, 300, 1500, 4000})
    void nothingIsSentToAServerThatStartedToDrainBeforeTheGatewayStarted(long answersAfterMs) throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1", "r2").answerReads();
                SlowDiscovery agent =
                        new SlowDiscovery(fixture.endpointList(5, true, "p", "r1:DRAINING", "r2"), answersAfterMs);
                ServingProcess gateway = start(fixture, agent.port())) {
            gateway.line("server r1 listed DRAINING");
            gateway.line("listens at");
            int before = served.get();
            awaitServed(before + 100, gateway);
            FakeDatabaseServer draining = fixture.servers.get("r1");
            assertThat(draining.receivedRequests).as("%s", gateway.log()).isEmpty();
            assertThat(draining.healthChecks)
                    .as("health checks:\n%s", gateway.log())
                    .isZero();
        }
    }

    @Test
    void aGatewayWithAnUnresponsiveAgentServesFromTheConfiguredListInTime() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1", "r2").answerReads();
                FakeDiscovery agent = new FakeDiscovery(fixture.endpointList(5, true, "p"))) {
            agent.unresponsive = true;
            try (ServingProcess gateway = start(fixture, agent.port())) {
                awaitServed(20, gateway);
                assertThat(gateway.ageMs()).as("%s", gateway.log()).isLessThan(READY_WITHIN_MS);
            }
        }
    }
}
