package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks reloads of the configuration that follow each other quickly while discovery is slow or does not answer. */
@Timeout(120)
class ConfigurationReloadTest {
    /** Time after SIGHUP in which the endpoint list of the newly configured discovery takes effect. */
    private static final long IN_FORCE_WITHIN_MS = 4000;

    private static final int SOCKETS = 256;
    private static final int RELOADS = 24;

    @TempDir
    private Path directory;

    private static String configuration(int discoveryPort, GatewayTestFixture net) {
        return GatewayTestFixture.configuration(net.discovery, SOCKETS, 30_000)
                .replace(
                        "\"discovery\":\"127.0.0.1:" + net.discovery.port(),
                        "\"discovery\":\"127.0.0.1:" + discoveryPort);
    }

    private void reload(GatewayTestFixture net, int discoveryPort) throws IOException {
        Path file = directory.resolve("gateway.json");
        Files.writeString(file, configuration(discoveryPort, net));
        net.gateway.reloadConfiguration(file);
    }

    private static long msSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 500, 1100, 1500, 2500})
    void theListOfASlowDiscoveryTakesEffectInTimeAfterTheLastOfManyReloads(long answersAfterMs) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").start();
                FakeDiscovery silent = new FakeDiscovery(net.endpointList(9, true, "p"));
                SlowDiscovery former = new SlowDiscovery(net.endpointList(3, true, "p", "r2"), answersAfterMs);
                SlowDiscovery last = new SlowDiscovery(net.endpointList(5, true, "p", "r1"), answersAfterMs)) {
            silent.unresponsive = true;
            for (int i = 0; i < RELOADS; i++) {
                reload(net, i % 2 == 0 ? silent.port() : former.port());
            }
            reload(net, last.port());
            long reloaded = System.nanoTime();
            net.awaitLog("server r2 listed GONE");
            assertThat(msSince(reloaded)).as(net::log).isLessThan(IN_FORCE_WITHIN_MS);
            List<String> r1 = net.log()
                    .lines()
                    .filter(l -> l.contains("server r1 listed"))
                    .toList();
            assertThat(r1.isEmpty() || r1.get(r1.size() - 1).endsWith(" IN"))
                    .as(net::log)
                    .isTrue(); // even if the list of a former discovery took effect in between
        }
    }

    @Test
    void noConnectionToAFormerDiscoveryStaysOpenAfterAReload() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").start();
                SlowDiscovery one = new SlowDiscovery(net.endpointList(3, true, "p", "r1"), 100);
                SlowDiscovery other = new SlowDiscovery(net.endpointList(4, true, "p", "r1"), 100);
                SlowDiscovery last = new SlowDiscovery(net.endpointList(5, true, "p", "r1"), 0)) {
            List<SlowDiscovery> former = List.of(one, other);
            for (int i = 0; i < RELOADS; i++) {
                reload(net, former.get(i % 2).port());
                Thread.sleep(i % 3 * 60L); // some calls are answered before the next reload, some are not
            }
            reload(net, last.port());
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
            while (one.openConnections.get() + other.openConnections.get() > 0) {
                assertThat(System.nanoTime())
                        .as(
                                "%d and %d connections are open, %d to the last:\n%s",
                                one.openConnections.get(),
                                other.openConnections.get(),
                                last.openConnections.get(),
                                net.log())
                        .isLessThan(end);
                Thread.sleep(20);
            }
            int calls = one.calls.get() + other.calls.get();
            Thread.sleep(3000); // longer than a watch is held
            assertThat(one.calls.get() + other.calls.get())
                    .as("calls to former discoveries")
                    .isEqualTo(calls);
            assertThat(last.openConnections.get()).as(net::log).isBetween(1, 3);
        }
    }

    @Test
    void theLatestReloadTakesEffectThoughAnEarlierReadTakesLonger() throws Exception {
        Path file = directory.resolve("gateway.json");
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").start();
                SlowDiscovery former = new SlowDiscovery(net.endpointList(3, true, "p", "r1"), 0);
                SlowDiscovery last = new SlowDiscovery(net.endpointList(5, true, "p", "r2"), 0)) {
            assertThat(new ProcessBuilder("mkfifo", file.toString()).start().waitFor())
                    .isZero();
            Thread first = new Thread(
                    () -> net.gateway.reloadConfiguration(file)); // the JVM runs each signal handler on a new thread
            Thread second = new Thread(() -> net.gateway.reloadConfiguration(file));
            try (RandomAccessFile slow = new RandomAccessFile(file.toFile(), "rw")) {
                first.start();
                awaitReading(first);
                Path next = directory.resolve("next.json");
                Files.writeString(next, configuration(last.port(), net));
                Files.move(next, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                second.start();
                second.join(500); // time for the second read to finish, unless it waits for the first
                slow.write(configuration(former.port(), net).getBytes(StandardCharsets.UTF_8));
            }
            first.join(TimeUnit.SECONDS.toMillis(GatewayTestFixture.TIMEOUT_S));
            second.join(TimeUnit.SECONDS.toMillis(GatewayTestFixture.TIMEOUT_S));
            List<String> reloads = new ArrayList<>(net.log()
                    .lines()
                    .filter(l -> l.contains("new configuration: "))
                    .toList());
            for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.TIMEOUT_S);
                    reloads.size() < 2 && System.nanoTime() < end;
                    Thread.sleep(20)) {
                reloads = new ArrayList<>(net.log()
                        .lines()
                        .filter(l -> l.contains("new configuration: "))
                        .toList());
            }
            assertThat(reloads).as(net::log).hasSize(2).last().asString().contains(":" + last.port() + ",");
        }
    }

    /** Waits until the thread is in the system call that reads the named pipe. */
    private static void awaitReading(Thread reader) throws InterruptedException {
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.TIMEOUT_S);
                System.nanoTime() < end;
                Thread.sleep(10)) {
            if (List.of(reader.getStackTrace()).toString().contains("read0")) {
                return;
            }
        }
        throw new AssertionError("the configuration is not being read: " + List.of(reader.getStackTrace()));
    }

    @Test
    void aConfigurationTruncatedAnywhereChangesNothing() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").start();
                SlowDiscovery elsewhere = new SlowDiscovery(net.endpointList(3, true, "p"), 0)) {
            Path file = directory.resolve("gateway.json");
            String complete = configuration(elsewhere.port(), net);
            for (int length = 0; length < complete.length(); length++) {
                Files.writeString(file, complete.substring(0, length));
                net.gateway.reloadConfiguration(file);
            }
            Files.delete(file);
            // As when a deployment has removed the old file and not yet written the new one.
            net.gateway.reloadConfiguration(file);
            net.gateway.reloadConfiguration(directory);
            assertThat(net.log()).doesNotContain("new configuration: ").contains("new configuration not taken");
            assertThat(elsewhere.calls).hasValue(0);
        }
    }
}
