package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A process with the memory of the deployment, whose clients write keys that are new each time, of any allowed length. */
@Timeout(180)
class LongKeysMemoryTest {
    private static final int SOCKETS = 256;
    private static final int CLIENTS = 4;
    private static final int MIN_KEY = 8;
    private static final int MAX_KEY = 60_000;

    /** Twice the heap of the deployment. */
    private static final long TOTAL_KEY_BYTES = 160_000_000;

    @TempDir
    Path directory;

    /** Regression test for a table that is bounded in number, and whose entries clients make large. */
    @Test
    void servedWritesWithLongNewKeysDoNotUseUpMemory() throws Exception {
        long seed = System.nanoTime();
        System.out.println("seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            net.servers.get("p").answersWrites = true;
            Path configuration = directory.resolve("gateway.json");
            Files.writeString(configuration, GatewayTestFixture.configuration(net.discovery, SOCKETS, 30_000));
            ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
            try (ServingProcess gateway = ServingProcess.start(directory, ServingProcess.onClassPath(configuration))) {
                int port = gateway.port();
                String write = net.queryText("order");
                List<Future<Integer>> served = new ArrayList<>();
                for (int i = 0; i < CLIENTS; i++) {
                    String prefix = "client" + i + "-";
                    SplittableRandom own = random.split();
                    served.add(clients.submit(() -> writeNewKeys(write, port, prefix, own)));
                }
                int total = 0;
                for (Future<Integer> future : served) {
                    total += future.get(150, TimeUnit.SECONDS);
                }
                System.out.println(total + " writes served");
                assertThat(gateway.process.isAlive()).as(gateway.log()).isTrue();
            } finally {
                clients.shutdownNow();
            }
        }
    }

    /** Writes keys until their share of all bytes has been sent; returns the number of writes. */
    private static int writeNewKeys(String write, int port, String prefix, SplittableRandom random) throws Exception {
        int writes = 0;
        try (TestClient client = new TestClient(port).completeStartup()) {
            for (long bytes = 0; bytes < TOTAL_KEY_BYTES / CLIENTS; writes++) {
                String key = prefix + writes + "-" + "k".repeat(random.nextInt(MIN_KEY, MAX_KEY));
                bytes += key.length();
                client.sendQuery(
                        write.replace("'k'", "'" + key + "'").replaceFirst("id=\\d+", "id=" + prefix + writes));
                assertThat(client.readResponse()).isEqualTo("row 07 ready");
            }
        }
        return writes;
    }
}
