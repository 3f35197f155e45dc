package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Arrays;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Checks that a gateway starts and serves whether its class data archive is complete, missing or corrupt. */
@Timeout(180)
class ClassArchiveTest {
    @TempDir
    static Path root;

    private static DeployedGateway deployed;
    private static byte[] complete;

    private GatewayTestFixture net;
    private Path configuration;

    @BeforeAll
    static void build() throws Exception {
        deployed = new DeployedGateway(root);
        deployed.launcher(Map.of());
        deployed.archive("");
        complete = Files.readAllBytes(deployed.classArchive());
    }

    @BeforeEach
    void createNet() throws IOException {
        net = new GatewayTestFixture("p", "r1").answerReads();
        configuration = root.resolve("gateway.json");
        Files.writeString(configuration, GatewayTestFixture.configuration(net.discovery, 256, 30_000));
    }

    @AfterEach
    void close() throws Exception {
        net.close();
        Files.deleteIfExists(deployed.classArchive());
        Files.write(deployed.classArchive(), complete);
    }

    private ServingProcess startAndServe(String commandPrefix, String commandSuffix) throws Exception {
        ServingProcess gateway = deployed.start(configuration, commandPrefix, commandSuffix);
        try (TestClient client = new TestClient(gateway.port()).completeStartup()) {
            System.out.println("ready after " + gateway.ageMs() + " ms");
            for (int i = 0; i < 20; i++) {
                assertThat(net.readWithRetries(client)).as(gateway.log()).isEqualTo("row 07 ready");
            }
        }
        return gateway;
    }

    private void assertServesWith(byte[] archive) throws Exception {
        Files.write(deployed.classArchive(), archive);
        startAndServe("", "").close();
    }

    private static boolean mapsArchive(ServingProcess gateway) throws IOException {
        return Files.readString(Path.of("/proc/" + gateway.process.pid() + "/maps"))
                .contains("ploverdale.jsa");
    }

    @Test
    void aCompleteArchiveIsUsed() throws Exception {
        try (ServingProcess gateway = startAndServe("", "")) {
            assertThat(mapsArchive(gateway)).isTrue();
        }
    }

    @Test
    void theGatewayServesWithoutAnArchive() throws Exception {
        Files.delete(deployed.classArchive());
        startAndServe("", "").close();
    }

    @Test
    void theGatewayServesWithAnEmptyArchive() throws Exception {
        assertServesWith(new byte[0]);
    }

    @Test
    void anArchiveThatDoesNotFitOnTheDiskIsNotInstalled() throws Exception {
        deployed.archive("ulimit -f 8000; "); // files are limited to 4 MB
        assertThat(deployed.classArchive()).doesNotExist();
        startAndServe("", "").close();
    }

    @Test
    void anArchiveOfAnotherBuildIsNotUsed() throws Exception {
        Path jar = root.resolve("gateway/target/ploverdale.jar");
        FileTime built = Files.getLastModifiedTime(jar);
        Files.setLastModifiedTime(jar, FileTime.fromMillis(0));
        try (ServingProcess gateway = startAndServe("", "")) {
            assertThat(mapsArchive(gateway)).isFalse();
        } finally {
            Files.setLastModifiedTime(jar, built);
        }
    }

    @RepeatedTest(12)
    void theGatewayServesWithAFlippedBitInTheArchive(RepetitionInfo repetition) throws Exception {
        long seed = repetition.getCurrentRepetition();
        byte[] corrupt = complete.clone();
        int position = new SplittableRandom(seed).nextInt(corrupt.length);
        corrupt[position] ^= 1 << (seed % 8);
        System.out.println("seed " + seed + ": byte " + position + " of " + corrupt.length);
        assertServesWith(corrupt);
    }

    @Test
    void theGatewayServesWithAPageOfZeroesInTheArchive() throws Exception { // as after a system crash during the write
        byte[] corrupt = complete.clone();
        int from = corrupt.length / 2 / 4096 * 4096;
        Arrays.fill(corrupt, from, from + 4096, (byte) 0);
        assertServesWith(corrupt);
    }
}
