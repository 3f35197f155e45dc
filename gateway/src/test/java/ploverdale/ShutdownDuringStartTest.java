package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.ConnectException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against requests without an answer if SIGTERM arrives between the first connection and the end of a start. */
@Timeout(120)
class ShutdownDuringStartTest {
    @TempDir
    private Path directory;

    @Test
    void aRequestThatWasReadBeforeTheGatewayServesIsAnswered() throws Exception {
        Path file = directory.resolve("gateway.json");
        try (GatewayTestFixture net = new GatewayTestFixture("p").answerReads()) {
            CountDownLatch healthChecks = new CountDownLatch(1); // the gateway does not serve until the checks time out
            net.servers.values().forEach(server -> server.healthCheckGate = healthChecks);
            int port = freePort();
            Files.writeString(
                    file,
                    GatewayTestFixture.configuration(net.discovery, 256, 30_000)
                            .replace("127.0.0.1:0", "127.0.0.1:" + port));
            try (ServingProcess gateway = ServingProcess.start(directory, ServingProcess.onClassPath(file));
                    TestClient client = connectWhenListening(port)) {
                client.completeStartup().sendQuery(net.queryText("page"));
                while (net.servers.get("p").healthChecks == 0) {
                    Thread.onSpinWait(); // the query was sent before; the loop reads it before the check's answer
                }
                assertThat(gateway.log()).doesNotContain("listens at");
                gateway.process.destroy();
                assertThat(client.readResponse()).as(gateway.log()).matches("row 07 ready|53300.* ready");
                assertThat(gateway.process.waitFor(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                        .isTrue();
                assertThat(gateway.process.exitValue()).as(gateway.log()).isZero();
            }
        }
    }

    /** A start that fails ends with its own exit code, not with that of a graceful shutdown. */
    @Test
    void aStartThatCannotListenFails() throws Exception {
        Path file = directory.resolve("gateway.json");
        try (GatewayTestFixture net = new GatewayTestFixture("p");
                ServerSocket occupied = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            Files.writeString(
                    file,
                    GatewayTestFixture.configuration(net.discovery, 256, 30_000)
                            .replace("127.0.0.1:0", "127.0.0.1:" + occupied.getLocalPort()));
            try (ServingProcess gateway = ServingProcess.start(directory, ServingProcess.onClassPath(file))) {
                assertThat(gateway.process.waitFor(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                        .isTrue();
                assertThat(gateway.process.exitValue()).as(gateway.log()).isEqualTo(1);
            }
        }
    }

    private static int freePort() throws Exception {
        try (ServerSocket free = new ServerSocket(0)) {
            return free.getLocalPort();
        }
    }

    private static TestClient connectWhenListening(int port) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.TIMEOUT_S);
        while (true) {
            try {
                return new TestClient(port);
            } catch (ConnectException notYet) {
                assertThat(System.nanoTime()).isLessThan(endNanos);
                Thread.sleep(2);
            }
        }
    }
}
