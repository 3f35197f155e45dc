package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ploverdale.clock.Clock;
import ploverdale.clock.ServerClock;
import ploverdale.limits.ConnectionLimits;
import ploverdale.log.Log;
import ploverdale.model.Action;
import ploverdale.model.OutboundActionHandler;
import ploverdale.net.client.ClientConnections;
import ploverdale.net.eventloop.RouterEventLoop;
import ploverdale.net.eventloop.SingleLoopVertx;
import ploverdale.settings.ConfigurationFile;

/** Every request that was read receives its final answer in time, whatever servers and other clients do. */
@Timeout(120)
class FinalAnswerTest {
    private static final long ANSWER_SLACK_MS = 500; // tolerated after the deadline

    private static long elapsedMs(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    @Test
    void aRequestIsAnsweredInTimeWhenOtherClientsUseAllMemoryForRequests() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start(1024, 30_000)) {
            for (int valueBytes : new int[] {60_000, 4_000, 400, 20
            }) { // until the limit of 16 MB has no room even for a small request
                fill(fixture, valueBytes, valueBytes == 60_000 ? 145 : 20);
            }
            TestClient client = fixture.connect();
            long sentNanos = System.nanoTime();
            String answer = client.sendQuery(fixture.queryText("quick", 1000)).readResponse();
            assertThat(answer).as(fixture::log).startsWith("53300");
            assertThat(elapsedMs(sentNanos)).as(fixture::log).isLessThan(1000 + ANSWER_SLACK_MS);
        }
    }

    /** Connects this many clients, each with a request that the server does not answer. */
    private static void fill(GatewayTestFixture fixture, int valueBytes, int clients) throws Exception {
        for (int i = 0; i < clients; i++) {
            fixture.connect().sendQuery(fixture.queryText("order").replace("\\x01", "\\x" + "01".repeat(valueBytes)));
        }
    }

    /** Ignores every action of the router, as if its answers were lost. */
    private static final class IgnoringActionHandler implements OutboundActionHandler {
        @Override
        public void startAttempt(Action.StartAttempt attempt) {}

        @Override
        public void cancelAttempt(Action.CancelAttempt cancellation) {}

        @Override
        public void rejectRequest(Action.RejectRequest rejection) {}

        @Override
        public void failRequest(Action.FailRequest failure) {}

        @Override
        public void checkHealth(Action.CheckHealth check) {}

        @Override
        public void closeIdleConnections(Action.CloseIdleConnections close) {}

        @Override
        public void watchEndpoints(Action.WatchEndpoints watch) {}

        @Override
        public void sendGossip(Action.SendGossip gossip) {}
    }

    @Test
    void aRequestWithoutAnAnswerFailsRightAfterItsDeadline() throws Exception {
        Vertx vertx = SingleLoopVertx.create();
        try (FakeDiscovery registry = new FakeDiscovery("{\"revision\":1,\"complete\":true,\"members\":[]}")) {
            Path file = Files.createTempFile("gateway", ".json");
            ConfigurationFile settings = ConfigurationFile.read(
                    Files.writeString(file, GatewayTestFixture.configuration(registry, 256, 30_000)));
            Files.delete(file);
            ByteArrayOutputStream lines = new ByteArrayOutputStream();
            Log log = new Log(new PrintStream(lines, true));
            CompletableFuture<NetServer> listening = new CompletableFuture<>();
            Context context = vertx.getOrCreateContext();
            context.runOnContext(x -> {
                RouterEventLoop loop = new RouterEventLoop(vertx, context, log, null, Clock.system());
                loop.setActionHandler(new IgnoringActionHandler());
                ServerClock time = new ServerClock(log::line, Clock.system());
                ClientConnections clients =
                        new ClientConnections(vertx, log, loop, settings.settings(), new ConnectionLimits<>(256), time);
                clients.startServing();
                vertx.createNetServer()
                        .connectHandler(clients::accept)
                        .listen(0, "127.0.0.1")
                        .onComplete(r -> listening.complete(r.result()));
            });
            int port = listening
                    .get(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS)
                    .actualPort();
            try (TestClient client = new TestClient(port).completeStartup()) {
                long sentNanos = System.nanoTime();
                String query = "SELECT val FROM state WHERE uid = 'k' /* id=1,c=quick,t=north,d=400,cluster=1 */";
                assertThat(client.sendQuery(query).readResponse())
                        .as(lines::toString)
                        .isEqualTo("58000 ready");
                assertThat(elapsedMs(sentNanos)).as(lines::toString).isBetween(400L, 400 + ANSWER_SLACK_MS);
            }
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().get(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS);
        }
    }
}
