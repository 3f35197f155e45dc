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
            String query = net.request(type, deadlineMs);
            long now = System.nanoTime();
            client.ask(query);
            return new Sent(client, now, deadlineMs);
        }

        /** What the client has left now. */
        long leftMs() {
            return deadlineMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - atNanos);
        }
    }

    /** The next query at the server, with a deadline that its client can still wait for. */
    private static ReceivedQuery arrivesInTime(GatewayTestFixture net, FakeDatabaseServer server, Sent sent) throws Exception {
        ReceivedQuery query = server.next();
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
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            for (long deadlineMs : new long[] {100, 300, DEADLINE_MS}) {
                Sent sent = Sent.by(net.client(), net, "quick", deadlineMs);
                arrivesInTime(net, net.servers.get("p"), sent).row(new byte[] {7});
                sent.client.answer();
            }
        }
    }

    @Test
    void ofARequestThatWasReadLate() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            TestClient client = net.client();
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
        retry(first -> first.problem("XX000"));
    }

    @Test
    void ofARetryBehindABrokenConnection() throws Exception {
        retry(ReceivedQuery::reset);
    }

    /** How a first attempt fails. */
    private interface Failure {
        void of(ReceivedQuery first) throws Exception;
    }

    private static void retry(Failure failure) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1")) {
            net.settings =
                    told -> told.replace("\"aimMs\":600,\"deadlineMs\":1000", "\"aimMs\":1500,\"deadlineMs\":2000");
            net.started();
            Sent sent = Sent.by(net.client(), net, "quick", DEADLINE_MS);
            ReceivedQuery first = arrivesInTime(net, firstAsked(net), sent);
            Thread.sleep(HELD_MS); // in which the server worked in vain
            failure.of(first);
            arrivesInTime(net, firstAsked(net), sent);
        }
    }

    private static FakeDatabaseServer firstAsked(GatewayTestFixture net) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.PATIENCE_S);
        while (true) {
            for (FakeDatabaseServer server : net.servers.values()) {
                if (!server.got.isEmpty()) {
                    return server;
                }
            }
            assertThat(System.nanoTime()).as(net::log).isLessThan(end);
            Thread.onSpinWait();
        }
    }

    @Test
    void ofAnAttemptThatWaitedForItsConnection() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            FakeDatabaseServer server = net.servers.get("p");
            net.client().ask(net.request("order"));
            server.next(); // has the connection that the health check opened
            server.holdsGreetings = new CountDownLatch(1);
            Sent sent = Sent.by(net.client(), net, "order", DEADLINE_MS);
            Thread.sleep(HELD_MS); // while the connection does not come up
            server.holdsGreetings.countDown();
            arrivesInTime(net, server, sent);
        }
    }

    /**
     * The write waits for its primary, which is silent; the health check that it answers has the module log that and send the write
     * in the same turn, which pauses in between.
     */
    private static Sent pausedBetweenDecidingAndWriting(GatewayTestFixture net, long deadlineMs, long heldMs) throws Exception {
        FakeDatabaseServer server = net.servers.get("p");
        server.holdsProbes = new CountDownLatch(1);
        net.settings = told -> told.replace("\"connectTimeoutMs\":2000", "\"connectTimeoutMs\":300")
                .replace("\"aimMs\":10000", "\"aimMs\":400");
        net.started(); // without an answer from anyone
        TestClient client = net.client();
        CountDownLatch paused = net.pauseAtLog("server p returns");
        Sent sent = Sent.by(client, net, "order", deadlineMs);
        server.holdsProbes.countDown();
        assertThat(paused.await(GatewayTestFixture.PATIENCE_S, TimeUnit.SECONDS)).as(net::log).isTrue();
        Thread.sleep(heldMs);
        net.goOn();
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
            assertThat(sent.client.answer()).as(net::log).startsWith("53300");
            assertThat(net.servers.get("p").got).isEmpty();
        }
    }
}
