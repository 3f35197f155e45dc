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

/** A gateway process that starts with an endpoint list older than its discovery agent's, while clients already wait for it. */
@Timeout(120)
class StartBeforeDiscoveryAnswersTest {
    private static final String ROW_7 = "row 07 ready";
    private static final int CLIENTS = 4;
    private static final int LEAST_PORT = 20_000;
    private static final int MOST_PORT = 30_000;
    private static final long READY_WITHIN_MS = 10_000; // of the process's start

    @TempDir
    private Path directory;

    private final List<Thread> clients = new ArrayList<>();
    private final AtomicInteger served = new AtomicInteger();

    @AfterEach
    void endClients() {
        clients.forEach(Thread::interrupt);
    }

    private ServingProcess start(GatewayTestFixture net, int discoveryPort) throws IOException {
        int port = freePort();
        String configuration = GatewayTestFixture.configuration(net.discovery, 256, 30_000)
                .replace("127.0.0.1:0", "127.0.0.1:" + port)
                .replace(
                        "\"discovery\":\"127.0.0.1:" + net.discovery.port(),
                        "\"discovery\":\"127.0.0.1:" + discoveryPort);
        Path file = Files.writeString(directory.resolve("gateway.json"), configuration);
        ServingProcess gateway = ServingProcess.start(directory, ServingProcess.onClassPath(file));
        for (int i = 0; i < CLIENTS; i++) {
            Thread client = new Thread(() -> readUntilInterrupted(net, port));
            client.setDaemon(true);
            client.start();
            clients.add(client);
        }
        return gateway;
    }

    /** Below the ports that systems give to clients: a client that connects to one of those may meet itself and occupy it. */
    private static int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(LEAST_PORT, MOST_PORT);
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (IOException occupied) {
                Thread.onSpinWait();
            }
        }
    }

    private void readUntilInterrupted(GatewayTestFixture net, int port) {
        while (!Thread.currentThread().isInterrupted()) {
            try (TestClient client = new TestClient(port)) {
                client.completeStartup();
                while (!Thread.currentThread().isInterrupted()) {
                    String answer = client.sendQuery(net.queryText("page")).readResponse();
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
    void nothingIsSentToAServerThatBeganToDrainBeforeTheStart(long answersAfterMs) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").answerReads();
                SlowDiscovery agent = new SlowDiscovery(net.endpointList(5, true, "p", "r1:DRAINING", "r2"), answersAfterMs);
                ServingProcess gateway = start(net, agent.port())) {
            gateway.line("server r1 listed DRAINING");
            gateway.line("listens at");
            int before = served.get();
            awaitServed(before + 100, gateway);
            FakeDatabaseServer draining = net.servers.get("r1");
            assertThat(draining.receivedRequests).as("%s", gateway.log()).isEmpty();
            assertThat(draining.healthChecks).as("health checks:\n%s", gateway.log()).isZero();
        }
    }

    @Test
    void aGatewayWhoseAgentIsSilentServesFromTheConfiguredListInTime() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").answerReads();
                FakeDiscovery agent = new FakeDiscovery(net.endpointList(5, true, "p"))) {
            agent.unresponsive = true;
            try (ServingProcess gateway = start(net, agent.port())) {
                awaitServed(20, gateway);
                assertThat(gateway.ageMs()).as("%s", gateway.log()).isLessThan(READY_WITHIN_MS);
            }
        }
    }
}
