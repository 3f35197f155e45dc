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

/** Database servers that hang through the whole of a graceful shutdown: each request taken is answered before its end. */
@Timeout(120)
class HungServerShutdownTest {
    private static final long KILLED_AFTER_MS = 700; // beyond the longest deadline, which counts as 3 s at most
    private static final long LONGEST_COUNTED_MS = 3000;
    private static final List<String> CLASSES = List.of("page", "quick", "order");

    /** From when on no server answers anything. */
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
                clients.get(i).sendQuery(net.queryText(CLASSES.get((i + j) % CLASSES.size()), 9000));
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Hang.class)
    void eachRequestTakenIsAnsweredBeforeTheEnd(Hang hang) throws Exception {
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
            CountDownLatch ended = new CountDownLatch(1);
            long sigterm = System.nanoTime();
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            net.awaitLog("planned restart: 12 connections");
            hang(net, hang == Hang.NEW_CONNECTIONS_TOO);
            askAll(net, clients, 3); // clients go on on open connections
            for (TestClient client : clients) {
                for (int i = 0; i < 5; i++) {
                    assertThat(client.readResponse()).as(net::log).matches("(row 07|53300.*|57P03.*|58000) ready");
                }
            }
            assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isTrue();
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sigterm))
                    .as(net::log)
                    .isLessThan(LONGEST_COUNTED_MS + KILLED_AFTER_MS);
            assertThat(net.log()).contains(" 0 ops unanswered");
            resume(net);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {100, 400, 1000})
    void withShortDeadlinesToo(long deadlineMs) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").answerReads()) {
            net.configurationEdit = told -> told.replace("\"deadlineMs\":20000", "\"deadlineMs\":" + deadlineMs)
                    .replace("\"deadlineMs\":1000", "\"deadlineMs\":" + deadlineMs)
                    .replace("\"aimMs\":10000", "\"aimMs\":" + deadlineMs / 2)
                    .replace("\"aimMs\":600", "\"aimMs\":" + deadlineMs / 2);
            net.start();
            TestClient client = net.connect();
            net.readWithRetries(client);
            hang(net, false);
            CountDownLatch ended = new CountDownLatch(1);
            long sigterm = System.nanoTime();
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            int answered = 0;
            for (String answer = "ready"; answer.endsWith("ready"); answered++) {
                answer = client.sendQuery(net.queryText(CLASSES.get(answered % CLASSES.size()), deadlineMs))
                        .readResponse();
                assertThat(answer).as(net::log).matches("(row 07|53300.*|57P03.*|58000) ready|closed");
            }
            assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isTrue();
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sigterm))
                    .as(net::log)
                    .isLessThan(deadlineMs + KILLED_AFTER_MS);
            assertThat(net.log()).contains(" 0 ops unanswered");
            assertThat(answered).isGreaterThan(1);
            resume(net);
        }
    }
}
