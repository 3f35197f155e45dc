package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that a gateway serves and obeys SIGTERM though neither its log nor any other file can be written. */
@Timeout(120)
class UnwritableFilesTest {
    @TempDir
    Path directory;

    private Path configuration(GatewayTestFixture net, int port) throws IOException {
        String settings = GatewayTestFixture.configuration(net.discovery, 256, 30_000)
                .replace("127.0.0.1:0", "127.0.0.1:" + port);
        return Files.writeString(directory.resolve("gateway.json"), settings);
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return free.getLocalPort();
        }
    }

    /**
     * Retries until the gateway accepts connections, and returns a connected client. The log, which may not be written,
     * can't tell when.
     */
    private static TestClient connect(int port, Process gateway) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.TIMEOUT_S);
        while (true) {
            try {
                return new TestClient(port).completeStartup();
            } catch (ConnectException e) {
                assertThat(gateway.isAlive()).isTrue();
                assertThat(System.nanoTime()).isLessThan(end);
                Thread.sleep(20);
            }
        }
    }

    private Process start(
            Path configuration, Path workingDirectory, String commandPrefix, String commandSuffix, String... options)
            throws IOException {
        List<String> command =
                new ArrayList<>(List.of("sh", "-c", commandPrefix + "exec \"$@\"" + commandSuffix, "sh"));
        command.addAll(ServingProcess.java());
        command.addAll(List.of(options));
        command.addAll(List.of("-cp", ServingProcess.classPath(), "ploverdale.Main", "serve", "--config"));
        command.add(configuration.toString());
        return new ProcessBuilder(command)
                .directory(workingDirectory.toFile())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    /** Asserts that the gateway serves, also after it tried to log, and exits normally on SIGTERM. */
    private static void assertServes(GatewayTestFixture net, Process gateway, int port) throws Exception {
        try (TestClient client = connect(port, gateway)) {
            for (int i = 0; i < 20; i++) {
                assertThat(net.readWithRetries(client)).isEqualTo("row 07 ready");
                assertThat(client.sendQuery(net.queryText("no such type")).readResponse())
                        .isEqualTo("22023 ready"); // the gateway tries to log this
            }
        }
        gateway.destroy();
        assertThat(gateway.waitFor(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                .isTrue();
        assertThat(gateway.exitValue()).isZero();
    }

    @ParameterizedTest
    @ValueSource(strings = {" 2>/dev/full", " 2>&-", " <&- >&- 2>&-", " >/dev/full 2>/dev/full"})
    void theGatewayServesWhenItsLogCannotBeWritten(String redirection) throws Exception {
        int port = freePort();
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").answerReads()) {
            Process gateway = start(configuration(net, port), directory, "", redirection);
            try {
                connect(port, gateway).close();
                for (int descriptor = 0; descriptor <= 2; descriptor++) {
                    Path open = Path.of("/proc/" + gateway.pid() + "/fd/" + descriptor);
                    if (Files.exists(open, LinkOption.NOFOLLOW_LINKS)) { // no log line may be written to a connection
                        assertThat(Files.readSymbolicLink(open).toString()).doesNotStartWith("socket:");
                    }
                }
                assertServes(net, gateway, port);
            } finally {
                gateway.destroyForcibly();
            }
        }
    }

    @Test
    void theGatewayServesWhenTheDiskIsFull() throws Exception { // no byte may be written to any file, including the log
        int port = freePort();
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").answerReads()) {
            Path log = directory.resolve("log");
            Process gateway = start(configuration(net, port), directory, "ulimit -f 0; ", " 2>" + log);
            try {
                assertServes(net, gateway, port);
                assertThat(log).isEmptyFile();
            } finally {
                gateway.destroyForcibly();
            }
        }
    }

    @Test
    void theGatewayServesWhenWorkingAndTemporaryDirectoriesCannotBeWritten() throws Exception {
        int port = freePort();
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").answerReads()) {
            Process gateway = start(configuration(net, port), Path.of("/proc"), "", "", "-Djava.io.tmpdir=/proc/none");
            try {
                assertServes(net, gateway, port);
            } finally {
                gateway.destroyForcibly();
            }
        }
    }
}
