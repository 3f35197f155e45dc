package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ploverdale.net.postgres.MessageWriter;

/** What crosses the last moment of a graceful shutdown is answered, or left unread. */
@Timeout(120)
class LastMomentTest {
    private static final long KILLED_AFTER_MS = 1000; // with a longest deadline of 300 ms
    private static final long ANSWERS_BY_MS = 500;

    private static GatewayTestFixture shortDeadlines(GatewayTestFixture net) throws Exception {
        net.configurationEdit = told -> told.replace("\"deadlineMs\":20000", "\"deadlineMs\":300")
                .replace("\"deadlineMs\":1000", "\"deadlineMs\":300");
        return net.start();
    }

    /** Begins a graceful shutdown whose signal came so long ago, and waits for its end. */
    private static void ends(GatewayTestFixture net, long signalledMsAgo) throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        long signalNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(signalledMsAgo);
        net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(signalNanos, ended));
        assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS)).as(net::log).isTrue();
    }

    @Test
    void whatComesOnAnOpenConnectionBehindTheEndIsLeftUnread() throws Exception {
        try (GatewayTestFixture net = shortDeadlines(new GatewayTestFixture("p"))) {
            net.servers.get("p").answersWrites = true;
            TestClient client = net.connect();
            ends(net, KILLED_AFTER_MS); // so late that idle connections have not been ended
            client.sendQuery(net.queryText("order", 300));
            Thread.sleep(300); // in which it would be answered
            assertThat(client.hasUnreadBytes()).as(net::log).isFalse();
        }
    }

    @Test
    void whatComesOnANewConnectionBehindTheEndIsLeftUnread() throws Exception {
        try (GatewayTestFixture net = shortDeadlines(new GatewayTestFixture("p"))) {
            net.servers.get("p").answersWrites = true;
            ends(net, 0);
            try (TestClient late = new TestClient(net.gateway.port())) {
                late.write(MessageWriter.startup()).sendQuery(net.queryText("order", 300));
                Thread.sleep(300); // in which it would be answered
                assertThat(late.hasUnreadBytes()).as(net::log).isFalse();
            }
        }
    }

    @Test
    void whatIsReadInTheLastTurnIsAnswered() throws Exception {
        try (GatewayTestFixture net = shortDeadlines(new GatewayTestFixture("p"))) {
            net.servers.get("p").answersWrites = true;
            TestClient client = net.connect();
            CountDownLatch ended = new CountDownLatch(1);
            long signalNanos = System.nanoTime();
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(signalNanos, ended));
            net.awaitLog("planned restart");
            net.pauseLoopWhileReading();
            client.sendQuery(net.queryText("order", 300));
            Thread.sleep(KILLED_AFTER_MS - 140 - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalNanos));
            net.resume(); // it reads the request, and then comes the look that is due, when nothing more is to be read
            assertThat(client.readResponse()).as(net::log).endsWith("ready");
            assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
            assertThat(net.log()).contains(" 0 ops unanswered");
        }
    }

    @Test
    void aRequestThatBeginsBehindTheDeadlineOfAnswersAndNeverEndsIsRefused() throws Exception {
        try (GatewayTestFixture net = shortDeadlines(new GatewayTestFixture("p"))) {
            TestClient half = net.connect();
            CountDownLatch ended = new CountDownLatch(1);
            CountDownLatch endsIdle = net.pauseAtLog("planned restart: idle connections end");
            long signalNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(ANSWERS_BY_MS + 100);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(signalNanos, ended));
            assertThat(endsIdle.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .as(net::log)
                    .isTrue();
            half.write(halfARequest()); // is read right before its connection would end as idle
            net.resume();
            assertThat(half.readResponse()).as(net::log).isEqualTo("57P03 closed");
            assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        }
    }

    private static Buffer halfARequest() {
        return Buffer.buffer().appendByte((byte) 'Q').appendInt(200).appendString("SELECT");
    }

    @Test
    void theTimesOfAShutdownCountFromItsSignalThoughTheLoopCameToItLate() throws Exception {
        try (GatewayTestFixture net = shortDeadlines(new GatewayTestFixture("p"))) {
            net.connect();
            ends(net, 650);
            String end = net.log().replaceAll("(?s).*ends after (\\d+) ms.*", "$1");
            assertThat(Integer.parseInt(end)).as(net::log).isGreaterThanOrEqualTo(650);
        }
    }
}
