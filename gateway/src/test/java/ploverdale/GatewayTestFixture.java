package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import ploverdale.clock.Clock;
import ploverdale.log.Log;
import ploverdale.net.Gateway;
import ploverdale.net.eventloop.SingleLoopVertx;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.settings.ConfigurationFile;

/** A real gateway and, on loopback, stand-ins for its surroundings: database servers, discovery, clients; tests drive them. */
final class GatewayTestFixture implements AutoCloseable {
    static final long PATIENCE_S = 20; // long, for loaded machines; nothing waits so long when all is well
    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
    private volatile String pausesAt;
    private volatile CountDownLatch paused;
    private volatile CountDownLatch goesOn;
    private final List<AutoCloseable> open = new ArrayList<>();
    final Vertx vertx;
    final Map<String, FakeDatabaseServer> servers = new LinkedHashMap<>();
    final FakeDiscovery registry;
    Gateway gateway;
    UnaryOperator<String> settings = told -> told; // what a test changes of the configuration
    Clock clock = Clock.system(); // the gateway's
    private int listen; // 0: at a free port
    private int names;

    /** A gateway among servers, the first of them the primary; not yet started. */
    GatewayTestFixture(String... ids) throws IOException {
        this(SingleLoopVertx.create(), ids);
    }

    /** The same, with an event loop of the test's. */
    GatewayTestFixture(Vertx vertx, String... ids) throws IOException {
        this.vertx = vertx;
        for (String id : ids) {
            servers.put(id, new FakeDatabaseServer(id.startsWith("p")));
        }
        registry = new FakeDiscovery(list(1, true, ids));
    }

    /** The endpoint list in the format of discovery; an id may be followed by a colon and its phase. */
    String list(int revision, boolean whole, String... ids) {
        List<String> rows = new ArrayList<>();
        for (String id : ids) {
            String[] parts = id.split(":");
            rows.add("{\"id\":\"" + parts[0] + "\",\"host_port\":\"127.0.0.1:"
                    + servers.get(parts[0]).port() + "\",\"cell\":1,\"phase\":\""
                    + (parts.length > 1 ? parts[1] : "SERVING") + "\"}");
        }
        return "{\"revision\":" + revision + ",\"complete\":" + whole + ",\"members\":[" + String.join(",", rows)
                + "]}";
    }

    GatewayTestFixture started() throws Exception {
        return started(256, 30_000);
    }

    /** A configuration of the gateway, with discovery there. */
    static String configuration(FakeDiscovery registry, int sockets, long idleMs) {
        return "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" + registry.port()
                + "\",\"seed\":\"7\",\"limits\":{\"sockets\":" + sockets + "},\"known\":" + registry.whole + ","
                + "\"settings\":{\"balancers\":1,\"accounts\":[{\"name\":\"north\",\"quotaPerS\":1000}],\"profiles\":["
                + "{\"name\":\"page\",\"aimMs\":10000,\"deadlineMs\":20000,\"effect\":\"repeatable\",\"worth\":1},"
                + "{\"name\":\"quick\",\"aimMs\":600,\"deadlineMs\":1000,\"effect\":\"repeatable\",\"worth\":1},"
                + "{\"name\":\"order\",\"aimMs\":10000,\"deadlineMs\":20000,\"effect\":\"once\",\"worth\":5,"
                + "\"lateShare\":0.5}],\"specifics\":{\"classRead\":[\"lag_bound\",\"eventual\",\"mutate\"],"
                + "\"oldestDataMs\":[30000,0,0],\"positions\":true,\"checks\":\"silent\"},"
                + "\"report\":{\"via\":\"piggyback\",\"fields\":[\"x0\",\"x1\",\"busy\"]},"
                + "\"policyLimits\":{\"sendCap\":4,\"cancel\":true,\"probes\":true,\"retryAfter\":true,"
                + "\"maxRetryAfterMs\":1000,\"connectTimeoutMs\":2000,\"idleCloseMs\":" + idleMs
                + "},\"contract\":{"
                + "\"startCapacity\":0.3,\"coldMs\":10000,\"overloadFactor\":3,\"overloadForMs\":1000}}}";
    }

    GatewayTestFixture started(int sockets, long idleMs) throws Exception {
        gateway = starting(sockets, idleMs).get(PATIENCE_S, TimeUnit.SECONDS);
        return this;
    }

    private CompletableFuture<Gateway> starting(int sockets, long idleMs) throws IOException {
        Path file = Files.createTempFile("gateway", ".json");
        String told = configuration(registry, sockets, idleMs).replace("127.0.0.1:0", "127.0.0.1:" + listen);
        ConfigurationFile read = ConfigurationFile.read(Files.writeString(file, settings.apply(told)));
        Files.delete(file);
        PrintStream log = new PrintStream(lines, true) {
            @Override
            public void println(String line) {
                super.println(line);
                pauseAt(line);
            }
        };
        return Gateway.builder(vertx, new Log(log, clock), read)
                .clock(clock)
                .start()
                .toCompletionStage()
                .toCompletableFuture();
    }

    /** An action that may throw. */
    interface ThrowingRunnable {
        void run() throws Exception;
    }

    /** Pauses the gateway's event loop while it reads what a client wrote; {@link #goOn} ends that. */
    void pauseWhileReading() throws Exception {
        TestClient bad = client();
        pauseWhileReading(() -> bad.ask(request("no such type")));
    }

    /** The same; what is done has a client write something whose error is logged. */
    void pauseWhileReading(ThrowingRunnable writes) throws Exception {
        paused = new CountDownLatch(1);
        goesOn = new CountDownLatch(1);
        pausesAt = "bad input from a client"; // the log is written in the middle of reading
        writes.run();
        assertThat(paused.await(PATIENCE_S, TimeUnit.SECONDS)).as(this::log).isTrue();
    }

    /**
     * Pauses the event loop behind its reading, with timers due that it runs next; {@link #goOn} ends that.
     *
     * @param first is done right before those timers
     */
    void pauseBeforeTimers(Runnable first) throws Exception {
        pauseWhileReading();
        CountDownLatch reads = goesOn;
        CountDownLatch pausedAgain = new CountDownLatch(1);
        CountDownLatch goesOnAgain = new CountDownLatch(1);
        gateway.runOnLoop(() -> {
            pausedAgain.countDown();
            await(goesOnAgain);
        });
        first.run();
        Thread.sleep(50); // by now the timers that look for idle connections are due
        goesOn = goesOnAgain;
        reads.countDown();
        assertThat(pausedAgain.await(PATIENCE_S, TimeUnit.SECONDS))
                .as(this::log)
                .isTrue();
    }

    /** Pauses whoever logs a line with this, once; {@link #goOn} ends that. */
    CountDownLatch pauseAtLog(String part) {
        paused = new CountDownLatch(1);
        goesOn = new CountDownLatch(1);
        pausesAt = part;
        return paused;
    }

    void goOn() {
        goesOn.countDown();
    }

    private void pauseAt(String line) {
        if (pausesAt != null && line.contains(pausesAt)) {
            pausesAt = null;
            paused.countDown();
            await(goesOn);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(PATIENCE_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Has the gateway read its configuration again, with so many descriptors. */
    void renew(int sockets) {
        try {
            Path file = Files.createTempFile("gateway", ".json");
            Files.writeString(file, settings.apply(configuration(registry, sockets, 30_000)));
            gateway.reloadConfiguration(file);
            Files.delete(file);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** A client whose greeting, with this right behind it, is answered before the gateway is ready. */
    TestClient early(String text) throws Exception {
        try (ServerSocket free = new ServerSocket(0)) {
            listen = free.getLocalPort();
        }
        CompletableFuture<Gateway> ready = starting(256, 30_000);
        for (TestClient c = null; true; Thread.onSpinWait()) {
            try {
                c = new TestClient(listen);
            } catch (java.net.ConnectException e) {
                assertThat(ready).as(this::log).isNotDone();
                continue;
            }
            open.add(c);
            c.write(MessageWriter.startup().appendBuffer(MessageWriter.query(text)));
            assertThat(c.answer()).isEqualTo("ready");
            assertThat(ready).as(this::log).isNotDone();
            ready.thenAccept(g -> gateway = g);
            return c;
        }
    }

    /** Waits until the log contains this text. */
    void logged(String part) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!lines.toString().contains(part)) {
            assertThat(System.nanoTime())
                    .as("the log has \"%s\":\n%s", part, lines)
                    .isLessThan(end);
            Thread.onSpinWait();
        }
    }

    /** What the log says, for a story that goes wrong. */
    String log() {
        return lines.toString();
    }

    /** The text of a query; each call another op. */
    String request(String type) {
        return request(type, 15_000);
    }

    String request(String type, long waitMs) {
        String comment =
                " /* id=" + Integer.toHexString(++names) + ",c=" + type + ",t=north,d=" + waitMs + ",cluster=1 */";
        return (type.equals("order")
                        ? "INSERT INTO state (uid, val) VALUES ('k', '\\x01') RETURNING val"
                        : "SELECT val FROM state WHERE uid = 'k'")
                + comment;
    }

    /** Reads as clients do, which come back when told that it does no harm, for instance before any probe is in. */
    String read(TestClient c) throws IOException {
        String answer = "53300";
        for (int i = 0; i < 100 && answer.startsWith("53300"); i++) {
            answer = c.ask(request("page")).answer();
        }
        return answer;
    }

    /** From now on every server answers reads by itself, whichever the module picks. */
    GatewayTestFixture readable() {
        servers.values().forEach(s -> s.reads = true);
        return this;
    }

    TestClient client() throws IOException {
        TestClient c = new TestClient(gateway.port());
        open.add(c);
        return c.greeted();
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable o : open) {
            o.close();
        }
        vertx.close().toCompletionStage().toCompletableFuture().get(PATIENCE_S, TimeUnit.SECONDS);
        for (FakeDatabaseServer s : servers.values()) {
            s.close();
        }
        registry.close();
    }
}
