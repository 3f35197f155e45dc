package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import ploverdale.net.postgres.MessageWriter;

/**
 * Regression test for a process that passes its memory limit while hundreds of clients write slowly, stop in the middle
 * of a large request, or send comments of very many short fields.
 */
@Timeout(120)
class SlowClientsMemoryTest {
    private static final int SOCKETS = 1024;
    private static final int CLIENTS = 420;
    private static final int ROUNDS = 3;
    private static final int LARGE_BYTES = 120_000;
    private static final int PIECE_BYTES = 8_000;
    private static final int FIELDS = 15_000;
    private static final long MEMORY_LIMIT_KB = 192 * 1024; // of the deployment

    @TempDir
    Path directory;

    /** Messages of which the clients send the first part in pieces; every third client completes its message. */
    private static List<byte[]> messages(GatewayTestFixture net) {
        StringBuilder fields = new StringBuilder("SELECT val FROM state /* ");
        for (int i = 0; i < FIELDS; i++) {
            fields.append('f').append(i).append("=,");
        }
        String large = net.queryText("order").replace("\\x01", "\\x" + "01".repeat(LARGE_BYTES / 2));
        return List.of(
                MessageWriter.query(large).getBytes(),
                MessageWriter.query(fields + "*/").getBytes(),
                MessageWriter.query(fields + net.queryText("page").replaceAll(".*/\\* ", ""))
                        .getBytes());
    }

    private static void writePieces(List<TestClient> clients, List<byte[]> messages) {
        for (int from = 0; from < LARGE_BYTES; from += PIECE_BYTES) {
            for (int i = 0; i < clients.size(); i++) {
                byte[] message = messages.get(i % messages.size());
                int to = Math.min(message.length - (i % messages.size() == 0 ? PIECE_BYTES : 0), from + PIECE_BYTES);
                if (to > from) {
                    writeUnlessClosed(clients.get(i), Buffer.buffer(java.util.Arrays.copyOfRange(message, from, to)));
                }
            }
        }
    }

    private static void writeUnlessClosed(TestClient client, Buffer piece) {
        try {
            client.write(piece);
        } catch (IOException e) {
            return; // the gateway may end a client that makes it hold too much
        }
    }

    private static void assertServesNewClient(GatewayTestFixture net, ServingProcess gateway) throws Exception {
        try (TestClient client = new TestClient(gateway.port()).completeStartup()) {
            assertThat(net.readWithRetries(client)).as(gateway.log()).isEqualTo("row 07 ready");
        }
    }

    private static long peakMemoryKb(Process process) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findAny()
                .orElseThrow();
    }

    @Test
    void memoryStaysWithinItsLimitWhileHundredsOfClientsStopInTheMiddleOfLargeRequests() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").answerReads()) {
            Path configuration = directory.resolve("gateway.json");
            Files.writeString(configuration, GatewayTestFixture.configuration(net.discovery, SOCKETS, 30_000));
            try (ServingProcess gateway = ServingProcess.start(directory, ServingProcess.onClassPath(configuration))) {
                assertServesNewClient(net, gateway);
                for (int round = 0; round < ROUNDS; round++) {
                    List<TestClient> clients = new ArrayList<>();
                    for (int i = 0; i < CLIENTS; i++) {
                        clients.add(new TestClient(gateway.port()).write(MessageWriter.startup()));
                    }
                    writePieces(clients, messages(net));
                    assertThat(gateway.process.isAlive()).as(gateway.log()).isTrue();
                    assertServesNewClient(net, gateway);
                    assertThat(peakMemoryKb(gateway.process)).as(gateway.log()).isLessThan(MEMORY_LIMIT_KB);
                    for (TestClient client : clients) {
                        client.close();
                    }
                }
                System.out.println("peak memory of the gateway: " + peakMemoryKb(gateway.process) / 1024 + " MB");
            }
        }
    }
}
