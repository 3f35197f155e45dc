package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that a gateway started by {@code run} of deploy/balancer.toml still reloads its configuration if its parent
 * ignores SIGHUP, as nohup does, and that it serves even if the signal cannot be reset.
 */
@Timeout(120)
class HangUpIgnoredTest {
    private static final String IGNORED = "trap '' HUP; ";
    private static final String WILL_NOT_BE_READ = "SIGHUP is ignored by what started this program";

    @TempDir
    Path root;

    private DeployedGateway deployed;
    private Path configuration;

    @BeforeEach
    void createDeployment() throws IOException {
        deployed = new DeployedGateway(root);
        configuration = root.resolve("gateway.json");
    }

    private void configure(FakeDiscovery discovery) throws IOException {
        Files.writeString(configuration, GatewayTestFixture.configuration(discovery, 256, 30_000));
    }

    private static void assertServes(GatewayTestFixture net, ServingProcess gateway) throws Exception {
        try (TestClient client = new TestClient(gateway.port()).completeStartup()) {
            assertThat(net.readWithRetries(client)).as(gateway.log()).isEqualTo("row 07 ready");
        }
    }

    @Test
    void aHangUpReloadsTheConfigurationThoughTheParentIgnoresSighup() throws Exception {
        deployed.launcher(Map.of());
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").answerReads();
                FakeDiscovery elsewhere = new FakeDiscovery(net.endpointList(5, true, "p"))) {
            configure(net.discovery);
            try (ServingProcess gateway = deployed.start(configuration, IGNORED, "")) {
                assertServes(net, gateway);
                configure(elsewhere);
                gateway.hangUp();
                gateway.line("new configuration: discovery at 127.0.0.1:" + elsewhere.port());
                elsewhere.awaitRequest("/registry/instances");
                gateway.line("server r1 listed GONE");
                assertThat(gateway.log()).doesNotContain(WILL_NOT_BE_READ);
            }
        }
    }

    @Test
    void theGatewayServesAndLogsThatItWillNotReadConfigurationsWhenEnvCannotResetSignals() throws Exception {
        Path tools = Files.createDirectory(root.resolve("tools"));
        Path env = Files.writeString(tools.resolve("env"), "#!/bin/sh\necho env: unrecognized option >&2; exit 125\n");
        Files.setPosixFilePermissions(env, PosixFilePermissions.fromString("rwxr-xr-x"));
        Map<String, String> path = Map.of("PATH", tools + ":" + System.getenv("PATH"));
        deployed.launcher(path);
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").answerReads()) {
            configure(net.discovery);
            try (ServingProcess gateway = deployed.start(configuration, IGNORED, "", path)) {
                assertServes(net, gateway);
                gateway.line(WILL_NOT_BE_READ);
                gateway.hangUp();
                assertServes(net, gateway);
            }
        }
    }

    @Test
    void theGatewayServesWithoutTheLauncherFile() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").answerReads()) {
            configure(net.discovery);
            try (ServingProcess gateway = deployed.start(configuration, "", "")) {
                assertServes(net, gateway);
            }
        }
    }
}
