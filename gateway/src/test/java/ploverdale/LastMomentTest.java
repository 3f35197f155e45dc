package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ploverdale.net.postgres.MessageWriter;

/** Requests at the end of a graceful shutdown are answered or left unread, but never read without an answer. */
@Timeout(120)
class LastMomentTest {
    private static final long SHUTDOWN_LIMIT_MS = 1000; // from the signal, for a longest deadline of 300 ms
    private static final long ANSWER_DEADLINE_MS = 500;

    private static GatewayTestFixture shortDeadlines(GatewayTestFixture fixture) throws Exception {
        fixture.configurationEdit = configuration -> configuration
                .replace("\"deadlineMs\":20000", "\"deadlineMs\":300")
                .replace("\"deadlineMs\":1000", "\"deadlineMs\":300");
        return fixture.start();
    }

    /** Shuts down gracefully as if the signal had arrived this long ago, and waits for the end of the shutdown. */
    private static void shutDown(GatewayTestFixture fixture, long signalledMsAgo) throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        long signalNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(signalledMsAgo);
        fixture.gateway.runOnLoop(() -> fixture.gateway.shutdownGracefully(signalNanos, ended));
        assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                .as(fixture::log)
                .isTrue();
    }

    @Test
    void aRequestOnAnOpenConnectionAfterTheShutdownIsLeftUnread() throws Exception {
        try (GatewayTestFixture fixture = shortDeadlines(new GatewayTestFixture("p"))) {
            fixture.servers.get("p").answersWrites = true;
            TestClient client = fixture.connect();
            shutDown(fixture, SHUTDOWN_LIMIT_MS); // so late that idle connections have not been closed
            client.sendQuery(fixture.queryText("order", 300));
            Thread.sleep(300); // long enough for an answer
            assertThat(client.hasUnreadBytes()).as(fixture::log).isFalse();
        }
    }

    @Test
    void aRequestOnANewConnectionAfterTheShutdownIsLeftUnread() throws Exception {
        try (GatewayTestFixture fixture = shortDeadlines(new GatewayTestFixture("p"))) {
            fixture.servers.get("p").answersWrites = true;
            shutDown(fixture, 0);
            try (TestClient late = new TestClient(fixture.gateway.port())) {
                late.write(MessageWriter.startup()).sendQuery(fixture.queryText("order", 300));
                Thread.sleep(300); // long enough for an answer
                assertThat(late.hasUnreadBytes()).as(fixture::log).isFalse();
            }
        }
    }

    @Test
    void aRequestReadInTheLastLoopIterationIsAnswered() throws Exception {
        try (GatewayTestFixture fixture = shortDeadlines(new GatewayTestFixture("p"))) {
            fixture.servers.get("p").answersWrites = true;
            TestClient client = fixture.connect();
            CountDownLatch ended = new CountDownLatch(1);
            long signalNanos = System.nanoTime();
            fixture.gateway.runOnLoop(() -> fixture.gateway.shutdownGracefully(signalNanos, ended));
            fixture.awaitLog("planned restart");
            fixture.pauseLoopWhileReading();
            client.sendQuery(fixture.queryText("order", 300));
            Thread.sleep(SHUTDOWN_LIMIT_MS - 140 - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalNanos));
            // The loop reads the request, then runs the periodic check that is due, with nothing left to read.
            fixture.resume();
            assertThat(client.readResponse()).as(fixture::log).endsWith("ready");
            assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isTrue();
            assertThat(fixture.log()).contains(" 0 ops unanswered");
        }
    }

    @Test
    void anIncompleteRequestStartedAfterTheAnswerDeadlineIsRefused() throws Exception {
        try (GatewayTestFixture fixture = shortDeadlines(new GatewayTestFixture("p"))) {
            TestClient client = fixture.connect();
            CountDownLatch ended = new CountDownLatch(1);
            CountDownLatch closingIdle = fixture.pauseAtLog("planned restart: idle connections end");
            long signalNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(ANSWER_DEADLINE_MS + 100);
            fixture.gateway.runOnLoop(() -> fixture.gateway.shutdownGracefully(signalNanos, ended));
            assertThat(closingIdle.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .as(fixture::log)
                    .isTrue();
            client.write(incompleteQuery()); // read right before its connection would be closed as idle
            fixture.resume();
            assertThat(client.readResponse()).as(fixture::log).isEqualTo("57P03 closed");
            assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isTrue();
        }
    }

    private static Buffer incompleteQuery() {
        return Buffer.buffer().appendByte((byte) 'Q').appendInt(200).appendString("SELECT");
    }

    @Test
    void theTimesOfAShutdownCountFromItsSignalThoughTheLoopHandledItLate() throws Exception {
        try (GatewayTestFixture fixture = shortDeadlines(new GatewayTestFixture("p"))) {
            fixture.connect();
            shutDown(fixture, 650);
            String end = fixture.log().replaceAll("(?s).*ends after (\\d+) ms.*", "$1");
            assertThat(Integer.parseInt(end)).as(fixture::log).isGreaterThanOrEqualTo(650);
        }
    }
}
