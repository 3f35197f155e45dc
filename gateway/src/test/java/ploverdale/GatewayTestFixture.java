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

/** Runs a real gateway on loopback with fake database servers, a fake discovery and test clients. */
final class GatewayTestFixture implements AutoCloseable {
    /** Limit of every wait in these tests; generous, so that a loaded machine causes no failure. */
    static final long TIMEOUT_S = 20;

    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private volatile String pauseAtText;
    private volatile CountDownLatch pauseReached;
    private volatile CountDownLatch resumed;
    private final List<AutoCloseable> openClients = new ArrayList<>();
    final Vertx vertx;
    final Map<String, FakeDatabaseServer> servers = new LinkedHashMap<>();
    final FakeDiscovery discovery;
    Gateway gateway;

    /** Applied to the text of each configuration before the gateway reads it. */
    UnaryOperator<String> configurationEdit = configuration -> configuration;

    /** The clock of the gateway. */
    Clock clock = Clock.system();

    private int listenPort; // 0 stands for any free port
    private int queryCount;

    /** Starts a fake server per id, a primary where the id begins with "p"; the gateway itself is not yet started. */
    GatewayTestFixture(String... ids) throws IOException {
        this(SingleLoopVertx.create(), ids);
    }

    /** Does the same with the given Vert.x instance. */
    GatewayTestFixture(Vertx vertx, String... ids) throws IOException {
        this.vertx = vertx;
        for (String id : ids) {
            servers.put(id, new FakeDatabaseServer(id.startsWith("p")));
        }
        discovery = new FakeDiscovery(endpointList(1, true, ids));
    }

    /** Returns an endpoint list in the format of discovery; an id may be followed by a colon and its listed state. */
    String endpointList(int revision, boolean complete, String... ids) {
        List<String> rows = new ArrayList<>();
        for (String id : ids) {
            String[] parts = id.split(":");
            rows.add("{\"id\":\"" + parts[0] + "\",\"host_port\":\"127.0.0.1:"
                    + servers.get(parts[0]).port() + "\",\"cell\":1,\"phase\":\""
                    + (parts.length > 1 ? parts[1] : "SERVING") + "\"}");
        }
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + String.join(",", rows)
                + "]}";
    }

    GatewayTestFixture start() throws Exception {
        return start(256, 30_000);
    }

    /** Returns a configuration with this discovery, limit of descriptors and idle timeout of server connections. */
    static String configuration(FakeDiscovery discovery, int sockets, long idleMs) {
        return "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" + discovery.port()
                + "\",\"seed\":\"7\",\"limits\":{\"sockets\":" + sockets + "},\"known\":" + discovery.completeList + ","
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

    GatewayTestFixture start(int sockets, long idleMs) throws Exception {
        gateway = startAsync(sockets, idleMs).get(TIMEOUT_S, TimeUnit.SECONDS);
        return this;
    }

    private CompletableFuture<Gateway> startAsync(int sockets, long idleMs) throws IOException {
        Path file = Files.createTempFile("gateway", ".json");
        String configuration =
                configuration(discovery, sockets, idleMs).replace("127.0.0.1:0", "127.0.0.1:" + listenPort);
        ConfigurationFile configurationFile =
                ConfigurationFile.read(Files.writeString(file, configurationEdit.apply(configuration)));
        Files.delete(file);
        PrintStream log = new PrintStream(logOutput, true) {
            @Override
            public void println(String line) {
                super.println(line);
                pauseIfLogged(line);
            }
        };
        return Gateway.builder(vertx, new Log(log, clock), configurationFile)
                .clock(clock)
                .start()
                .toCompletionStage()
                .toCompletableFuture();
    }

    /** A step of a test that may throw. */
    interface ThrowingRunnable {
        void run() throws Exception;
    }

    /** Pauses the gateway's event loop while it reads bytes from a client, until {@link #resume}. */
    void pauseLoopWhileReading() throws Exception {
        TestClient bad = connect();
        pauseLoopWhileReading(() -> bad.sendQuery(queryText("no such type")));
    }

    /**
     * Pauses the gateway's event loop while it reads bytes from a client, until {@link #resume}.
     *
     * @param writeBadInput makes a client write malformed input, for which the gateway logs an error
     */
    void pauseLoopWhileReading(ThrowingRunnable writeBadInput) throws Exception {
        pauseReached = new CountDownLatch(1);
        resumed = new CountDownLatch(1);
        pauseAtText = "bad input from a client"; // logged from within the read handler
        writeBadInput.run();
        assertThat(pauseReached.await(TIMEOUT_S, TimeUnit.SECONDS))
                .as(this::log)
                .isTrue();
    }

    /**
     * Pauses the event loop after it has read from its sockets, with due timers that it runs next.
     * {@link #resume} ends the pause.
     *
     * @param first runs during the pause, before those timers
     */
    void pauseLoopBeforeTimers(Runnable first) throws Exception {
        pauseLoopWhileReading();
        CountDownLatch readResumed = resumed;
        CountDownLatch pauseReachedAgain = new CountDownLatch(1);
        CountDownLatch resumedAgain = new CountDownLatch(1);
        gateway.runOnLoop(() -> {
            pauseReachedAgain.countDown();
            await(resumedAgain);
        });
        first.run();
        Thread.sleep(50); // so that the timers that check for idle connections are due
        resumed = resumedAgain;
        readResumed.countDown();
        assertThat(pauseReachedAgain.await(TIMEOUT_S, TimeUnit.SECONDS))
                .as(this::log)
                .isTrue();
    }

    /**
     * Pauses the thread that next logs a line with this text, until {@link #resume}.
     *
     * @return a latch that is released when the thread is paused
     */
    CountDownLatch pauseAtLog(String part) {
        pauseReached = new CountDownLatch(1);
        resumed = new CountDownLatch(1);
        pauseAtText = part;
        return pauseReached;
    }

    void resume() {
        resumed.countDown();
    }

    private void pauseIfLogged(String line) {
        if (pauseAtText != null && line.contains(pauseAtText)) {
            pauseAtText = null;
            pauseReached.countDown();
            await(resumed);
        }
    }

    /** Waits for the latch, at most {@link #TIMEOUT_S}. */
    private static void await(CountDownLatch latch) {
        try {
            latch.await(TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Makes the gateway reload its configuration, with this many descriptors. */
    void reloadConfiguration(int sockets) {
        try {
            Path file = Files.createTempFile("gateway", ".json");
            Files.writeString(file, configurationEdit.apply(configuration(discovery, sockets, 30_000)));
            gateway.reloadConfiguration(file);
            Files.delete(file);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Returns a client that sent its startup message and this query, and was accepted before the gateway was ready. */
    TestClient connectDuringStartup(String text) throws Exception {
        try (ServerSocket free = new ServerSocket(0)) {
            listenPort = free.getLocalPort();
        }
        CompletableFuture<Gateway> ready = startAsync(256, 30_000);
        for (TestClient client = null; true; Thread.onSpinWait()) {
            try {
                client = new TestClient(listenPort);
            } catch (java.net.ConnectException e) {
                assertThat(ready).as(this::log).isNotDone();
                continue;
            }
            openClients.add(client);
            client.write(MessageWriter.startup().appendBuffer(MessageWriter.query(text)));
            assertThat(client.readResponse()).isEqualTo("ready");
            assertThat(ready).as(this::log).isNotDone();
            ready.thenAccept(g -> gateway = g);
            return client;
        }
    }

    /** Waits until the gateway's log contains this text. */
    void awaitLog(String part) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!logOutput.toString().contains(part)) {
            assertThat(System.nanoTime())
                    .as("the log has \"%s\":\n%s", part, logOutput)
                    .isLessThan(end);
            Thread.onSpinWait();
        }
    }

    /** Returns the gateway's log so far, also as the description of failed assertions. */
    String log() {
        return logOutput.toString();
    }

    /** Returns the text of a query of this class, with a new request id on each call. */
    String queryText(String requestClass) {
        return queryText(requestClass, 15_000);
    }

    String queryText(String requestClass, long waitMs) {
        String comment = " /* id=" + Integer.toHexString(++queryCount) + ",c=" + requestClass + ",t=north,d=" + waitMs
                + ",cluster=1 */";
        return (requestClass.equals("order")
                        ? "INSERT INTO state (uid, val) VALUES ('k', '\\x01') RETURNING val"
                        : "SELECT val FROM state WHERE uid = 'k'")
                + comment;
    }

    /** Reads with retries while the gateway rejects, for instance before the first health check has succeeded. */
    String readWithRetries(TestClient client) throws IOException {
        String answer = "53300";
        for (int i = 0; i < 100 && answer.startsWith("53300"); i++) {
            answer = client.sendQuery(queryText("page")).readResponse();
        }
        return answer;
    }

    /** From now on each server answers reads by itself, so that a test need not know which one the gateway chooses. */
    GatewayTestFixture answerReads() {
        servers.values().forEach(server -> server.answersReads = true);
        return this;
    }

    /** Returns a client that has completed its startup. */
    TestClient connect() throws IOException {
        TestClient client = new TestClient(gateway.port());
        openClients.add(client);
        return client.completeStartup();
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable client : openClients) {
            client.close();
        }
        vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
        for (FakeDatabaseServer server : servers.values()) {
            server.close();
        }
        discovery.close();
    }
}
