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

/** Whatever becomes of the class archive, a gateway starts and serves. */
@Timeout(180)
class ClassArchiveTest {
    @TempDir
    static Path root;

    private static DeployedGateway deployed;
    private static byte[] whole;

    private GatewayTestFixture net;
    private Path configuration;

    @BeforeAll
    static void build() throws Exception {
        deployed = new DeployedGateway(root);
        deployed.launcher(Map.of());
        deployed.archive("");
        whole = Files.readAllBytes(deployed.classArchive());
    }

    @BeforeEach
    void standIns() throws IOException {
        net = new GatewayTestFixture("p", "r1").answerReads();
        configuration = root.resolve("gateway.json");
        Files.writeString(configuration, GatewayTestFixture.configuration(net.discovery, 256, 30_000));
    }

    @AfterEach
    void close() throws Exception {
        net.close();
        Files.deleteIfExists(deployed.classArchive());
        Files.write(deployed.classArchive(), whole);
    }

    private ServingProcess serves(String before, String behind) throws Exception {
        ServingProcess gateway = deployed.start(configuration, before, behind);
        try (TestClient client = new TestClient(gateway.port()).completeStartup()) {
            System.out.println("ready after " + gateway.ageMs() + " ms");
            for (int i = 0; i < 20; i++) {
                assertThat(net.readWithRetries(client)).as(gateway.log()).isEqualTo("row 07 ready");
            }
        }
        return gateway;
    }

    private void servesWith(byte[] archive) throws Exception {
        Files.write(deployed.classArchive(), archive);
        serves("", "").close();
    }

    private static boolean mapsArchive(ServingProcess gateway) throws IOException {
        return Files.readString(Path.of("/proc/" + gateway.process.pid() + "/maps"))
                .contains("ploverdale.jsa");
    }

    @Test
    void aWholeArchiveIsUsed() throws Exception {
        try (ServingProcess gateway = serves("", "")) {
            assertThat(mapsArchive(gateway)).isTrue();
        }
    }

    @Test
    void aMissingArchiveDoesNoHarm() throws Exception {
        Files.delete(deployed.classArchive());
        serves("", "").close();
    }

    @Test
    void anEmptyArchiveDoesNoHarm() throws Exception {
        servesWith(new byte[0]);
    }

    @Test
    void anArchiveThatFindsNoRoomOnTheDiskIsNotPutInPlace() throws Exception {
        deployed.archive("ulimit -f 8000; "); // a file may have 4 MB
        assertThat(deployed.classArchive()).doesNotExist();
        serves("", "").close();
    }

    @Test
    void anArchiveOfAnotherBuildDoesNoHarm() throws Exception {
        Path jar = root.resolve("gateway/target/ploverdale.jar");
        FileTime built = Files.getLastModifiedTime(jar);
        Files.setLastModifiedTime(jar, FileTime.fromMillis(0));
        try (ServingProcess gateway = serves("", "")) {
            assertThat(mapsArchive(gateway)).isFalse();
        } finally {
            Files.setLastModifiedTime(jar, built);
        }
    }

    @RepeatedTest(12)
    void anArchiveWithABitTurnedDoesNoHarm(RepetitionInfo repetition) throws Exception {
        long seed = repetition.getCurrentRepetition();
        byte[] spoilt = whole.clone();
        int at = new SplittableRandom(seed).nextInt(spoilt.length);
        spoilt[at] ^= 1 << (seed % 8);
        System.out.println("seed " + seed + ": byte " + at + " of " + spoilt.length);
        servesWith(spoilt);
    }

    @Test
    void anArchiveWithAPageOfZeroesDoesNoHarm() throws Exception { // as a system that crashed while writing leaves it
        byte[] spoilt = whole.clone();
        int from = spoilt.length / 2 / 4096 * 4096;
        Arrays.fill(spoilt, from, from + 4096, (byte) 0);
        servesWith(spoilt);
    }
}
