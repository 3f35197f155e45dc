package ploverdale.net.server;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.lang.ref.WeakReference;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import ploverdale.clock.Clock;
import ploverdale.clock.ServerClock;
import ploverdale.limits.ConnectionLimits;
import ploverdale.log.Log;
import ploverdale.model.Event.Outcome;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
import ploverdale.net.eventloop.SingleLoopVertx;
import ploverdale.net.postgres.ClientMessage;
import ploverdale.net.postgres.ClientMessageReader;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ResultRow;
import ploverdale.net.postgres.ServerMessage;
import ploverdale.settings.GatewaySettings;
import ploverdale.settings.JsonFields;

/** Checks that each attempt ends exactly once, whatever happens to its connection, and that no connection leaks. */
class ServerConnectionPoolTest {
    private static final long TIMEOUT_S = 30;
    private static final long DUPLICATE_RESULT_WAIT_MS = 300; // time for a second result of an attempt to arrive
    private static final long LONG_TIMEOUT_TICKS = 300_000; // 30 s, longer than any test
    private static final ServerId SERVER = new ServerId("s1");
    private static final RequestId REQUEST = new RequestId("r1");
    private static final Buffer ROW = MessageWriter.resultRow(new ResultRow(
            new ServerMessage.RowDescription("val", 0, (short) 0, 17, (short) -1, -1, (short) 1),
            "value".getBytes(UTF_8),
            "SELECT 1"));

    private final Vertx vertx = SingleLoopVertx.create();
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final List<Outcome> outcomes = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Outcome> firstOutcome = new CompletableFuture<>();
    private final CompletableFuture<Void> closedAtServer = new CompletableFuture<>();
    private final ConnectionLimits<Object> limits = new ConnectionLimits<>(256);
    private ServerConnectionPool pool;

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Runs the step on the event loop, and returns once it has run. */
    private void onEventLoop(Runnable step) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        vertx.getOrCreateContext().runOnContext(turn -> {
            try {
                step.run();
                done.complete(null);
            } catch (RuntimeException | Error failure) { // the test's thread reports it
                done.completeExceptionally(failure);
            }
        });
        done.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private void createPool() throws Exception {
        Log log = new Log(new PrintStream(logOutput, true, UTF_8));
        GatewaySettings settings = new GatewaySettings(1, new JsonFields("settings", Map.of()));
        onEventLoop(() -> pool = new ServerConnectionPool(
                vertx,
                log,
                settings,
                limits,
                limits::mayOpenServerConnection,
                new ServerClock(log::line, Clock.system())));
    }

    /** Creates a pool and a server that completes each handshake and calls the handler for each query. */
    private void createPoolWithServer(Consumer<NetSocket> onQuery) throws Exception {
        createPool();
        CompletableFuture<NetServer> listening = new CompletableFuture<>();
        onEventLoop(() -> vertx.createNetServer()
                .connectHandler(socket -> serve(socket, onQuery))
                .listen(0, "127.0.0.1")
                .onSuccess(listening::complete)
                .onFailure(listening::completeExceptionally));
        int port = listening.get(TIMEOUT_S, TimeUnit.SECONDS).actualPort();
        onEventLoop(() -> pool.setAddress(SERVER, new InetSocketAddress("127.0.0.1", port)));
    }

    private void serve(NetSocket socket, Consumer<NetSocket> onQuery) {
        ClientMessageReader reader = new ClientMessageReader();
        socket.exceptionHandler(failure -> {});
        socket.closeHandler(closed -> closedAtServer.complete(null));
        socket.handler(bytes -> {
            reader.feed(bytes);
            for (ClientMessage message = reader.next(); message != null; message = reader.next()) {
                if (message instanceof ClientMessage.Startup) {
                    socket.write(MessageWriter.startupResponse());
                } else {
                    onQuery.accept(socket);
                }
            }
        });
    }

    private void startAttempt(long timeLimit, boolean mayWrite) throws Exception {
        onEventLoop(() -> pool.startAttempt(
                REQUEST,
                SERVER,
                timeLimit,
                () -> mayWrite,
                timeoutMs -> MessageWriter.query("SELECT 1"),
                false,
                result -> {
                    outcomes.add(result.outcome());
                    firstOutcome.complete(result.outcome());
                }));
    }

    private void assertEndsOnceAs(Outcome expected) throws Exception {
        assertThat(firstOutcome.get(TIMEOUT_S, TimeUnit.SECONDS))
                .as(logOutput::toString)
                .isEqualTo(expected);
        Thread.sleep(DUPLICATE_RESULT_WAIT_MS);
        onEventLoop(() -> pool.cancelAttempt(REQUEST));
        assertThat(outcomes).as(logOutput::toString).containsExactly(expected);
    }

    private int openConnections() throws Exception {
        CompletableFuture<Integer> count = new CompletableFuture<>();
        onEventLoop(() -> count.complete(limits.serverConnections()));
        return count.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Test
    void anAnsweredAttemptSucceedsAndItsConnectionIsKept() throws Exception {
        createPoolWithServer(socket -> socket.write(ROW));
        startAttempt(LONG_TIMEOUT_TICKS, true);
        assertEndsOnceAs(Outcome.SUCCEEDED);
        assertThat(openConnections()).isEqualTo(1);
    }

    /** Regression test for large answers that stayed in memory for as long as the connections on which they came are idle. */
    @Test
    void anIdleConnectionKeepsNothingOfItsLastAnswer() throws Exception {
        createPoolWithServer(socket -> socket.write(ROW));
        CompletableFuture<WeakReference<byte[]>> value = new CompletableFuture<>();
        onEventLoop(() -> pool.startAttempt(
                REQUEST,
                SERVER,
                LONG_TIMEOUT_TICKS,
                () -> true,
                timeoutMs -> MessageWriter.query("SELECT 1"),
                false,
                result -> value.complete(new WeakReference<>(result.row().value()))));
        WeakReference<byte[]> answer = value.get(TIMEOUT_S, TimeUnit.SECONDS);
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!answer.refersTo(null)) {
            assertThat(System.nanoTime()).as("the answer is released").isLessThan(endNanos);
            System.gc();
            Thread.sleep(10);
        }
        assertThat(openConnections()).isEqualTo(1);
    }

    @Test
    void cancellingAnAttemptClosesItsConnection() throws Exception {
        CompletableFuture<Void> queried = new CompletableFuture<>();
        createPoolWithServer(socket -> queried.complete(null));
        startAttempt(LONG_TIMEOUT_TICKS, true);
        queried.get(TIMEOUT_S, TimeUnit.SECONDS);
        onEventLoop(() -> pool.cancelAttempt(REQUEST));
        assertEndsOnceAs(Outcome.CANCELLED);
        closedAtServer.get(TIMEOUT_S, TimeUnit.SECONDS);
        assertThat(openConnections()).isZero();
    }

    @Test
    void anAttemptAtItsDeadlineTimesOutAndClosesItsConnection() throws Exception {
        createPoolWithServer(socket -> {});
        startAttempt(2000, true);
        assertEndsOnceAs(Outcome.TIMED_OUT);
        closedAtServer.get(TIMEOUT_S, TimeUnit.SECONDS);
        assertThat(openConnections()).isZero();
    }

    @Test
    void anAttemptWhoseConnectionIsLostEndsAsConnectionLost() throws Exception {
        createPoolWithServer(NetSocket::close);
        startAttempt(LONG_TIMEOUT_TICKS, true);
        assertEndsOnceAs(Outcome.CONNECTION_LOST);
        assertThat(openConnections()).isZero();
    }

    @Test
    void aProtocolViolationFailsTheAttemptAndClosesTheConnection() throws Exception {
        createPoolWithServer(socket -> socket.write(MessageWriter.readyForQuery()));
        startAttempt(LONG_TIMEOUT_TICKS, true);
        assertEndsOnceAs(Outcome.FAILED);
        closedAtServer.get(TIMEOUT_S, TimeUnit.SECONDS);
        assertThat(openConnections()).isZero();
    }

    @Test
    void anAttemptThatMayNotBeWrittenIsNeverSentAndItsConnectionIsKept() throws Exception {
        createPoolWithServer(socket -> socket.write(ROW));
        startAttempt(LONG_TIMEOUT_TICKS, false);
        assertEndsOnceAs(Outcome.NEVER_SENT);
        assertThat(openConnections()).isEqualTo(1);
    }

    @Test
    void anAttemptAtAServerWithoutAddressIsNeverSent() throws Exception {
        createPool();
        startAttempt(LONG_TIMEOUT_TICKS, true);
        assertEndsOnceAs(Outcome.NEVER_SENT);
        assertThat(openConnections()).isZero();
    }

    @Test
    void closingIdleConnectionsTwiceCountsThemOnce() throws Exception {
        createPoolWithServer(socket -> socket.write(ROW));
        startAttempt(LONG_TIMEOUT_TICKS, true);
        assertEndsOnceAs(Outcome.SUCCEEDED);
        onEventLoop(() -> {
            pool.closeIdleConnections(SERVER);
            pool.closeIdleConnections(SERVER);
        });
        closedAtServer.get(TIMEOUT_S, TimeUnit.SECONDS);
        assertThat(openConnections()).isZero();
    }
}
