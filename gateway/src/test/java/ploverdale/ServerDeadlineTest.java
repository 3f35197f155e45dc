package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The deadline that an attempt passes to its database server is at most what its client has left when it arrives there, with
 * 0.15 s of slack. Each test holds something back for longer than that.
 */
@Timeout(120)
class ServerDeadlineTest {
    private static final long SLACK_MS = 150;
    private static final long HELD_MS = 500;
    private static final long DEADLINE_MS = 2000;

    /** A request that a client sends now. */
    private record Sent(TestClient client, long atNanos, long deadlineMs) {
        static Sent by(TestClient client, GatewayTestFixture net, String type, long deadlineMs) throws Exception {
            String query = net.queryText(type, deadlineMs);
            long now = System.nanoTime();
            client.sendQuery(query);
            return new Sent(client, now, deadlineMs);
        }

        /** What the client has left now. */
        long leftMs() {
            return deadlineMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - atNanos);
        }
    }

    /** The next query at the server, with a deadline that its client can still wait for. */
    private static ReceivedQuery arrivesInTime(GatewayTestFixture net, FakeDatabaseServer server, Sent sent)
            throws Exception {
        ReceivedQuery query = server.nextQuery();
        long leftMs = sent.leftMs();
        long passedMs = Long.parseLong(query.text().replaceAll("(?s).*,d=(\\d+),.*", "$1"));
        assertThat(passedMs)
                .as("%d ms left, of %d\n%s", leftMs, sent.deadlineMs, net.log())
                .isBetween(1L, leftMs + SLACK_MS);
        return query;
    }

    private static void holdLoop(GatewayTestFixture net, CountDownLatch goesOn) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        net.gateway.runOnLoop(() -> {
            held.countDown();
            try {
                goesOn.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
    }

    @Test
    void ofAFirstAttempt() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            for (long deadlineMs : new long[] {100, 300, DEADLINE_MS}) {
                Sent sent = Sent.by(net.connect(), net, "quick", deadlineMs);
                arrivesInTime(net, net.servers.get("p"), sent).sendRow(new byte[] {7});
                sent.client.readResponse();
            }
        }
    }

    @Test
    void ofARequestThatWasReadLate() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient client = net.connect();
            CountDownLatch goesOn = new CountDownLatch(1);
            holdLoop(net, goesOn);
            Sent sent = Sent.by(client, net, "order", DEADLINE_MS);
            Thread.sleep(HELD_MS); // the pause itself
            goesOn.countDown();
            arrivesInTime(net, net.servers.get("p"), sent);
        }
    }

    @Test
    void ofARetryBehindAnError() throws Exception {
        retry(first -> first.sendError("XX000"));
    }

    @Test
    void ofARetryBehindABrokenConnection() throws Exception {
        retry(ReceivedQuery::resetConnection);
    }

    /** How a first attempt fails. */
    private interface Failure {
        void of(ReceivedQuery first) throws Exception;
    }

    private static void retry(Failure failure) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1")) {
            net.configurationEdit =
                    told -> told.replace("\"aimMs\":600,\"deadlineMs\":1000", "\"aimMs\":1500,\"deadlineMs\":2000");
            net.start();
            Sent sent = Sent.by(net.connect(), net, "quick", DEADLINE_MS);
            ReceivedQuery first = arrivesInTime(net, firstAsked(net), sent);
            Thread.sleep(HELD_MS); // in which the server worked in vain
            failure.of(first);
            arrivesInTime(net, firstAsked(net), sent);
        }
    }

    private static FakeDatabaseServer firstAsked(GatewayTestFixture net) {
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
    void ofAnAttemptThatWaitedForItsConnection() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer server = net.servers.get("p");
            net.connect().sendQuery(net.queryText("order"));
            server.nextQuery(); // has the connection that the health check opened
            server.startupGate = new CountDownLatch(1);
            Sent sent = Sent.by(net.connect(), net, "order", DEADLINE_MS);
            Thread.sleep(HELD_MS); // while the connection does not come up
            server.startupGate.countDown();
            arrivesInTime(net, server, sent);
        }
    }

    /**
     * The write waits for its primary, which is silent; the health check that it answers has the module log that and send the write
     * in the same turn, which pauses in between.
     */
    private static Sent pausedBetweenDecidingAndWriting(GatewayTestFixture net, long deadlineMs, long heldMs)
            throws Exception {
        FakeDatabaseServer server = net.servers.get("p");
        server.healthCheckGate = new CountDownLatch(1);
        net.configurationEdit = told -> told.replace("\"connectTimeoutMs\":2000", "\"connectTimeoutMs\":300")
                .replace("\"aimMs\":10000", "\"aimMs\":400");
        net.start(); // without an answer from anyone
        TestClient client = net.connect();
        CountDownLatch paused = net.pauseAtLog("server p returns");
        Sent sent = Sent.by(client, net, "order", deadlineMs);
        server.healthCheckGate.countDown();
        assertThat(paused.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                .as(net::log)
                .isTrue();
        Thread.sleep(heldMs);
        net.resume();
        return sent;
    }

    @Test
    void ofAnAttemptWrittenLongAfterItWasDecidedOn() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            Sent sent = pausedBetweenDecidingAndWriting(net, 4000, HELD_MS);
            arrivesInTime(net, net.servers.get("p"), sent);
        }
    }

    @Test
    void anAttemptWhoseClientHasNoTimeLeftIsNotWritten() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            Sent sent = pausedBetweenDecidingAndWriting(net, 1000, 1100);
            assertThat(sent.client.readResponse()).as(net::log).startsWith("53300");
            assertThat(net.servers.get("p").pendingQueries).isEmpty();
        }
    }
}
