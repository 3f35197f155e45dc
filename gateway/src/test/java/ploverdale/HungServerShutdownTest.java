package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that each request is answered before a graceful shutdown ends though the database servers hang all the while.
 */
@Timeout(120)
class HungServerShutdownTest {
    /** Time that the shutdown may take beyond the longest deadline; the process is killed after it. */
    private static final long KILLED_AFTER_MS = 700;
    /** Cap of the longest deadline in the duration of a shutdown. */
    private static final long MAX_COUNTED_DEADLINE_MS = 3000;

    private static final List<String> REQUEST_CLASSES = List.of("page", "quick", "order");

    /** When the servers stop answering, and whether new connections hang too. */
    enum Hang {
        BEFORE_SIGTERM,
        AFTER_SIGTERM,
        NEW_CONNECTIONS_TOO
    }

    private static void hang(GatewayTestFixture net, boolean newConnections) {
        for (FakeDatabaseServer server : net.servers.values()) {
            server.answersReads = false;
            server.answersWrites = false;
            server.healthCheckGate = new CountDownLatch(1);
            if (newConnections) {
                server.startupGate = new CountDownLatch(1);
            }
        }
    }

    private static void resume(GatewayTestFixture net) {
        for (FakeDatabaseServer server : net.servers.values()) {
            server.healthCheckGate.countDown();
            server.startupGate.countDown();
        }
    }

    private static void askAll(GatewayTestFixture net, List<TestClient> clients, int pipelined) throws Exception {
        for (int i = 0; i < clients.size(); i++) {
            for (int j = 0; j < pipelined; j++) {
                clients.get(i).sendQuery(net.queryText(REQUEST_CLASSES.get((i + j) % REQUEST_CLASSES.size()), 9000));
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Hang.class)
    void eachRequestIsAnsweredBeforeTheShutdownEnds(Hang hang) throws Exception {
        try (GatewayTestFixture net =
                new GatewayTestFixture("p", "r1", "r2").answerReads().start()) {
            net.servers.get("p").answersWrites = true;
            List<TestClient> clients = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                clients.add(net.connect());
                assertThat(net.readWithRetries(clients.get(i))).as(net::log).isEqualTo("row 07 ready");
            }
            if (hang != Hang.AFTER_SIGTERM) {
                hang(net, hang == Hang.NEW_CONNECTIONS_TOO);
            }
            askAll(net, clients, 2);
            CountDownLatch shutdownEnded = new CountDownLatch(1);
            long sigtermNanos = System.nanoTime();
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(shutdownEnded));
            net.awaitLog("planned restart: 12 connections");
            hang(net, hang == Hang.NEW_CONNECTIONS_TOO);
            askAll(net, clients, 3); // clients keep sending on their open connections
            for (TestClient client : clients) {
                for (int i = 0; i < 5; i++) {
                    assertThat(client.readResponse()).as(net::log).matches("(row 07|53300.*|57P03.*|58000) ready");
                }
            }
            assertThat(shutdownEnded.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isTrue();
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sigtermNanos))
                    .as(net::log)
                    .isLessThan(MAX_COUNTED_DEADLINE_MS + KILLED_AFTER_MS);
            assertThat(net.log()).contains(" 0 ops unanswered");
            resume(net);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {100, 400, 1000})
    void eachRequestIsAnsweredBeforeTheShutdownEndsWithShortDeadlines(long deadlineMs) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").answerReads()) {
            net.configurationEdit = configuration -> configuration
                    .replace("\"deadlineMs\":20000", "\"deadlineMs\":" + deadlineMs)
                    .replace("\"deadlineMs\":1000", "\"deadlineMs\":" + deadlineMs)
                    .replace("\"aimMs\":10000", "\"aimMs\":" + deadlineMs / 2)
                    .replace("\"aimMs\":600", "\"aimMs\":" + deadlineMs / 2);
            net.start();
            TestClient client = net.connect();
            net.readWithRetries(client);
            hang(net, false);
            CountDownLatch shutdownEnded = new CountDownLatch(1);
            long sigtermNanos = System.nanoTime();
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(shutdownEnded));
            int answered = 0;
            for (String answer = "ready"; answer.endsWith("ready"); answered++) {
                answer = client.sendQuery(
                                net.queryText(REQUEST_CLASSES.get(answered % REQUEST_CLASSES.size()), deadlineMs))
                        .readResponse();
                assertThat(answer).as(net::log).matches("(row 07|53300.*|57P03.*|58000) ready|closed");
            }
            assertThat(shutdownEnded.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isTrue();
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sigtermNanos))
                    .as(net::log)
                    .isLessThan(deadlineMs + KILLED_AFTER_MS);
            assertThat(net.log()).contains(" 0 ops unanswered");
            assertThat(answered).isGreaterThan(1);
            resume(net);
        }
    }
}
