package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that a gateway serves though its class data archive is truncated. The commands of {@code build} never leave a
 * truncated archive under the final name.
 */
@Timeout(180)
class CutClassArchiveTest {
    @TempDir
    static Path root;

    private static DeployedGateway deployed;
    private static byte[] complete;

    @BeforeAll
    static void build() throws Exception {
        deployed = new DeployedGateway(root);
        deployed.launcher(Map.of());
        deployed.archive("");
        complete = Files.readAllBytes(deployed.classArchive());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 100, 4096, 100_000, 7_000_000})
    void theGatewayServesWithATruncatedArchive(int length) throws Exception {
        Files.delete(deployed.classArchive());
        Files.write(deployed.classArchive(), Arrays.copyOf(complete, length));
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").answerReads()) {
            Path configuration = root.resolve("gateway.json");
            Files.writeString(configuration, GatewayTestFixture.configuration(net.discovery, 256, 30_000));
            try (ServingProcess gateway = deployed.start(configuration, "", "");
                    TestClient client = new TestClient(gateway.port()).completeStartup()) {
                assertThat(net.readWithRetries(client)).isEqualTo("row 07 ready");
            }
        }
    }
}
