package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that SIGHUP does not terminate a gateway that is still starting, as when a restart and a new configuration
 * coincide.
 */
@Timeout(120)
class HangUpDuringStartTest {
    @TempDir
    private Path directory;

    @Test
    void theGatewayStartsAndThenReadsTheNewConfiguration() throws Exception {
        Path file = directory.resolve("gateway.json");
        Path log = directory.resolve("gateway.log");
        Process gateway = null;
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").answerReads();
                FakeDiscovery elsewhere = new FakeDiscovery(net.endpointList(5, true, "p"))) {
            CountDownLatch healthChecks = new CountDownLatch(1);
            // The gateway serves once these health checks are answered.
            net.servers.values().forEach(server -> server.healthCheckGate = healthChecks);
            Files.writeString(file, GatewayTestFixture.configuration(net.discovery, 256, 30_000));
            gateway = new ProcessBuilder(
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
            net.discovery.awaitRequest("/registry/instances");
            Files.writeString(file, GatewayTestFixture.configuration(elsewhere, 256, 30_000));
            assertThat(new ProcessBuilder("kill", "-HUP", Long.toString(gateway.pid()))
                            .start()
                            .waitFor())
                    .isZero();
            assertThat(gateway.waitFor(500, TimeUnit.MILLISECONDS))
                    .as("terminated: %s", Files.readString(log))
                    .isFalse();
            healthChecks.countDown();
            elsewhere.awaitRequest("/registry/instances");
            elsewhere.awaitRequest("/registry/instances?from=5&hold_ms=2000");
        } finally {
            if (gateway != null) {
                gateway.destroyForcibly();
            }
        }
    }
}
