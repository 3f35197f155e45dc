package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Checks that the deadline that an attempt passes to its database server is at most the time that its client has left
 * when the attempt arrives there, with 0.15 s of slack. Each test delays the attempt for longer than that.
 */
@Timeout(120)
class ServerDeadlineTest {
    private static final long SLACK_MS = 150;
    private static final long DELAY_MS = 500;
    private static final long DEADLINE_MS = 2000;

    /** A request that a client has sent. */
    private record SentRequest(TestClient client, long atNanos, long deadlineMs) {
        static SentRequest send(TestClient client, GatewayTestFixture net, String type, long deadlineMs)
                throws Exception {
            String query = net.queryText(type, deadlineMs);
            long now = System.nanoTime();
            client.sendQuery(query);
            return new SentRequest(client, now, deadlineMs);
        }

        /** Returns the time until the client's deadline, in milliseconds. */
        long leftMs() {
            return deadlineMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - atNanos);
        }
    }

    /**
     * Awaits the next query at the server and asserts that its deadline is no later than the client's, apart from the
     * slack.
     */
    private static ReceivedQuery awaitQueryWithinDeadline(
            GatewayTestFixture net, FakeDatabaseServer server, SentRequest sent) throws Exception {
        ReceivedQuery query = server.nextQuery();
        long leftMs = sent.leftMs();
        long passedMs = Long.parseLong(query.text().replaceAll("(?s).*,d=(\\d+),.*", "$1"));
        assertThat(passedMs)
                .as("%d ms left, of %d\n%s", leftMs, sent.deadlineMs, net.log())
                .isBetween(1L, leftMs + SLACK_MS);
        return query;
    }

    private static void pauseLoop(GatewayTestFixture net, CountDownLatch resume) throws Exception {
        CountDownLatch paused = new CountDownLatch(1);
        net.gateway.runOnLoop(() -> {
            paused.countDown();
            try {
                resume.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        paused.await();
    }

    @Test
    void aFirstAttemptPassesTheTimeLeft() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            for (long deadlineMs : new long[] {100, 300, DEADLINE_MS}) {
                SentRequest sent = SentRequest.send(net.connect(), net, "quick", deadlineMs);
                awaitQueryWithinDeadline(net, net.servers.get("p"), sent).sendRow(new byte[] {7});
                sent.client.readResponse();
            }
        }
    }

    @Test
    void anAttemptOfARequestReadLatePassesTheTimeLeft() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient client = net.connect();
            CountDownLatch resume = new CountDownLatch(1);
            pauseLoop(net, resume);
            SentRequest sent = SentRequest.send(client, net, "order", DEADLINE_MS);
            Thread.sleep(DELAY_MS); // duration of the pause
            resume.countDown();
            awaitQueryWithinDeadline(net, net.servers.get("p"), sent);
        }
    }

    @Test
    void aRetryAfterAnErrorPassesTheTimeLeft() throws Exception {
        assertRetryArrivesInTime(first -> first.sendError("XX000"));
    }

    @Test
    void aRetryAfterABrokenConnectionPassesTheTimeLeft() throws Exception {
        assertRetryArrivesInTime(ReceivedQuery::resetConnection);
    }

    /** The way in which the first attempt fails. */
    private interface Failure {
        void inject(ReceivedQuery first) throws Exception;
    }

    private static void assertRetryArrivesInTime(Failure failure) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1")) {
            net.configurationEdit = configuration ->
                    configuration.replace("\"aimMs\":600,\"deadlineMs\":1000", "\"aimMs\":1500,\"deadlineMs\":2000");
            net.start();
            SentRequest sent = SentRequest.send(net.connect(), net, "quick", DEADLINE_MS);
            ReceivedQuery first = awaitQueryWithinDeadline(net, firstServerWithAQuery(net), sent);
            Thread.sleep(DELAY_MS); // time that the failed attempt takes
            failure.inject(first);
            awaitQueryWithinDeadline(net, firstServerWithAQuery(net), sent);
        }
    }

    private static FakeDatabaseServer firstServerWithAQuery(GatewayTestFixture net) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.TIMEOUT_S);
        while (true) {
            for (FakeDatabaseServer server : net.servers.values()) {
                if (!server.pendingQueries.isEmpty()) {
                    return server;
                }
            }
            assertThat(System.nanoTime()).as(net::log).isLessThan(end);
            Thread.onSpinWait();
        }
    }

    @Test
    void anAttemptThatWaitedForItsConnectionPassesTheTimeLeft() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer server = net.servers.get("p");
            net.connect().sendQuery(net.queryText("order"));
            server.nextQuery(); // uses the connection that the health check opened
            server.startupGate = new CountDownLatch(1);
            SentRequest sent = SentRequest.send(net.connect(), net, "order", DEADLINE_MS);
            Thread.sleep(DELAY_MS); // the connection is not established meanwhile
            server.startupGate.countDown();
            awaitQueryWithinDeadline(net, server, sent);
        }
    }

    /**
     * Pauses the event loop between the decision to start an attempt and its write. A write request waits for its
     * primary, which does not answer health checks. Once it answers one, the gateway logs the readmission and starts
     * the attempt in the same turn of the loop; the pause begins at the log line. Returns the request once the pause
     * has ended.
     */
    private static SentRequest sendWithPauseBetweenDecisionAndWrite(
            GatewayTestFixture net, long deadlineMs, long pauseMs) throws Exception {
        FakeDatabaseServer server = net.servers.get("p");
        server.healthCheckGate = new CountDownLatch(1);
        net.configurationEdit = configuration -> configuration
                .replace("\"connectTimeoutMs\":2000", "\"connectTimeoutMs\":300")
                .replace("\"aimMs\":10000", "\"aimMs\":400");
        net.start(); // no server has answered a health check
        TestClient client = net.connect();
        CountDownLatch paused = net.pauseAtLog("server p returns");
        SentRequest sent = SentRequest.send(client, net, "order", deadlineMs);
        server.healthCheckGate.countDown();
        assertThat(paused.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                .as(net::log)
                .isTrue();
        Thread.sleep(pauseMs);
        net.resume();
        return sent;
    }

    @Test
    void anAttemptWrittenLongAfterItWasDecidedOnPassesTheTimeLeft() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            SentRequest sent = sendWithPauseBetweenDecisionAndWrite(net, 4000, DELAY_MS);
            awaitQueryWithinDeadline(net, net.servers.get("p"), sent);
        }
    }

    @Test
    void anAttemptWhoseClientHasNoTimeLeftIsNotWritten() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            SentRequest sent = sendWithPauseBetweenDecisionAndWrite(net, 1000, 1100);
            assertThat(sent.client.readResponse()).as(net::log).startsWith("53300");
            assertThat(net.servers.get("p").pendingQueries).isEmpty();
        }
    }
}
