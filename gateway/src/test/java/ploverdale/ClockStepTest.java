package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ploverdale.clock.Clock;

/**
 * A gateway on loopback whose wall clock steps while it serves, or was wrong when it started. Steps must neither end
 * requests early nor delay time-outs, and a wrong clock must not make stale replicas look fresh. Durations are in
 * milliseconds.
 */
@Timeout(120)
class ClockStepTest {
    private static final String ROW_7 = "row 07 ready";
    private static final long BOUND_MS = 2000; // the staleness bound of reads of class "page"

    private final SteppedClock clock = SteppedClock.correct();

    /** A gateway whose reads may be no older than {@link #BOUND_MS}. */
    private static GatewayTestFixture net(SteppedClock clock, String... servers) throws Exception {
        GatewayTestFixture net = new GatewayTestFixture(servers);
        net.clock = clock;
        net.configurationEdit =
                settings -> settings.replace("\"oldestDataMs\":[30000,0,0]", "\"oldestDataMs\":[" + BOUND_MS + ",0,0]");
        return net;
    }

    /** Returns the milliseconds since a reading of System.nanoTime(). */
    private static long sinceMs(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    /** Reads periodically for this long, and checks that each read succeeds. */
    private static void assertReadsSucceedFor(GatewayTestFixture net, TestClient client, long ms) throws Exception {
        for (long began = System.nanoTime(); sinceMs(began) < ms; ) {
            assertThat(net.readWithRetries(client)).as(net::log).isEqualTo(ROW_7);
            Thread.sleep(10);
        }
    }

    /** Returns the load report of a replica that lags by this. */
    private static String laggingBy(long ms) {
        return "x0=" + (Clock.system().wallMs() - ms) / 1000.0 + ",x1=0,busy=0.1";
    }

    /** Sets the start time of the servers in the endpoint list, as Unix time in milliseconds. */
    private static void setStartTime(GatewayTestFixture net, long ms) {
        net.discovery.completeList =
                net.discovery.completeList.replace("\"cell\"", "\"up_since_ms\":" + ms + ",\"cell\"");
    }

    /** Checks that the log shows no ejection, no event loop lag and no doubt about the clock. */
    private static void assertUndisturbed(GatewayTestFixture net) {
        assertThat(net.log()).doesNotContain("silent", "stood still", "in doubt", "corrected");
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, -5_000, 3_600_000, -3_600_000})
    void stepUnderLoadEndsNoRequestEarlyAndIsLoggedOnce(long step) throws Exception {
        try (GatewayTestFixture net = net(clock, "p", "r1", "r2").answerReads().start()) {
            TestClient reader = net.connect();
            TestClient writer = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery inFlight = net.servers.get("p").nextQuery();
            assertReadsSucceedFor(net, reader, 200);
            clock.step(step);
            assertReadsSucceedFor(net, reader, 700);
            net.awaitLog("wall clock stepped by ");
            assertThat(net.servers.get("p").pendingQueries).isEmpty(); // no retry
            inFlight.sendRow(new byte[] {7});
            assertThat(writer.readResponse()).as(net::log).isEqualTo(ROW_7);
            writer.sendQuery(net.queryText("order"));
            net.servers.get("p").nextQuery().sendRow(new byte[] {1});
            assertThat(writer.readResponse()).isEqualTo("row 01 ready");
            assertUndisturbed(net);
            assertThat(net.log().lines().filter(line -> line.contains("wall clock stepped by ")))
                    .hasSize(1);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, -5_000, 3_600_000, -3_600_000})
    void replicaThatStopsReplicatingIsNotReadBeyondStalenessBoundDespiteStep(long step) throws Exception {
        try (GatewayTestFixture net = net(clock, "p", "r1").answerReads()) {
            FakeDatabaseServer r1 = net.servers.get("r1");
            long stopped = System.nanoTime();
            r1.loadReportOverride = laggingBy(0);
            net.start();
            TestClient client = net.connect();
            assertReadsSucceedFor(net, client, 100);
            clock.step(step);
            assertReadsSucceedFor(net, client, BOUND_MS + 100 - sinceMs(stopped));
            r1.answersReads = false;
            assertReadsSucceedFor(net, client, 500);
            assertThat(r1.pendingQueries).as(net::log).isEmpty();
            assertUndisturbed(net);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, -5_000, 3_600_000, -3_600_000})
    void hungServerIsEjectedInTimeDespiteStep(long step) throws Exception {
        try (GatewayTestFixture net = net(clock, "p", "r1", "r2").answerReads().start()) {
            assertReadsSucceedFor(net, net.connect(), 200);
            clock.step(step);
            net.awaitLog("wall clock stepped by ");
            net.servers.get("r1").unresponsive = true;
            long hangsSince = System.nanoTime();
            while (!net.log().contains("server r1 silent")) {
                net.connect().sendQuery(net.queryText("page", 1000)); // those sent to r1 are not answered
                assertThat(sinceMs(hangsSince)).as(net::log).isLessThan(5_000);
                Thread.sleep(20);
            }
            assertThat(net.log()).doesNotContain("server r2 silent", "server p silent");
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, -5_000, 3_600_000, -3_600_000})
    void drainingServerReceivesNoRequestDespiteStep(long step) throws Exception {
        try (GatewayTestFixture net = net(clock, "p", "r1", "r2").answerReads().start()) {
            TestClient client = net.connect();
            net.discovery.updates.add(net.endpointList(2, false, "r1:DRAINING"));
            net.awaitLog("server r1 listed DRAINING");
            clock.step(step);
            net.servers.get("r1").answersReads = false;
            assertReadsSucceedFor(net, client, 700);
            assertThat(net.servers.get("r1").pendingQueries).as(net::log).isEmpty();
            assertUndisturbed(net);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, -5_000, 3_600_000, -3_600_000})
    void stepDuringGracefulShutdownEndsNoRequestEarlyAndDoesNotDelayShutdown(long step) throws Exception {
        try (GatewayTestFixture net = net(clock, "p")) {
            // With this deadline, the shutdown takes 1.7 s.
            net.configurationEdit = settings -> settings.replace("\"deadlineMs\":20000", "\"deadlineMs\":1000")
                    .replace("\"aimMs\":10000", "\"aimMs\":500");
            net.start();
            TestClient client = net.connect();
            client.sendQuery(net.queryText("order", 900));
            ReceivedQuery attempt = net.servers.get("p").nextQuery();
            CountDownLatch ended = new CountDownLatch(1);
            long began = System.nanoTime();
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            net.awaitLog("planned restart: 1 connections");
            clock.step(step);
            Thread.sleep(300);
            assertThat(net.servers.get("p").pendingQueries).isEmpty();
            attempt.sendRow(new byte[] {7});
            assertThat(client.readResponse()).as(net::log).startsWith("row 07 ");
            assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isTrue();
            assertThat(sinceMs(began)).isLessThan(3_000);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, -5_000, 3_600_000, -3_600_000})
    void slowStartLimitsAttemptsAsBeforeDespiteStep(long step) throws Exception {
        try (GatewayTestFixture net = net(clock, "p").answerReads()) {
            net.servers.get("p").answersWrites = true;
            // Without servers past slow start to compare with, slow start is based on the agreed traffic.
            net.configurationEdit = settings -> settings.replace("\"quotaPerS\":1000", "\"quotaPerS\":15");
            setStartTime(net, Clock.system().wallMs());
            net.start();
            TestClient one = net.connect();
            assertThat(one.sendQuery(net.queryText("order", 5_000)).readResponse())
                    .as(net::log)
                    .isEqualTo(ROW_7);
            clock.step(step);
            net.servers.get("p").answersWrites = false;
            List<TestClient> others = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                others.add(net.connect().sendQuery(net.queryText("order", 5_000)));
            }
            Thread.sleep(500);
            int attempts = net.servers
                    .get("p")
                    .pendingQueries
                    .size(); // about 10 at the usual duration, at 30 % of its capacity
            assertThat(attempts).as(net::log).isBetween(2, 15);
            assertUndisturbed(net);
        }
    }

    /** The deduplication window ends 1 s after the first attempt; the server closes the connection later than that. */
    @ParameterizedTest
    @ValueSource(longs = {-5_000, -3_600_000})
    void stepBackwardDoesNotExtendDeduplicationWindow(long step) throws Exception {
        try (GatewayTestFixture net = withDeduplicationWindow()) {
            TestClient client = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery attempt = net.servers.get("p").nextQuery();
            clock.step(step);
            Thread.sleep(1_200);
            attempt.resetConnection();
            assertThat(client.readResponse()).as(net::log).isEqualTo("58000 ready");
            assertThat(net.servers.get("p").pendingQueries).isEmpty();
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, 3_600_000})
    void stepForwardDoesNotEndDeduplicationWindow(long step) throws Exception {
        try (GatewayTestFixture net = withDeduplicationWindow()) {
            TestClient client = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery attempt = net.servers.get("p").nextQuery();
            clock.step(step);
            attempt.resetConnection();
            net.servers.get("p").nextQuery().sendRow(new byte[] {7});
            assertThat(client.readResponse()).as(net::log).isEqualTo(ROW_7);
        }
    }

    /**
     * Starts a gateway whose writes may be retried with their idempotency key, within a deduplication window of 1 s.
     */
    private GatewayTestFixture withDeduplicationWindow() throws Exception {
        GatewayTestFixture net = net(clock, "p").answerReads();
        net.configurationEdit = settings -> settings.replace(
                "\"effect\":\"once\"", "\"effect\":\"by_key\",\"dedupScope\":\"cell\",\"dedupWindowMs\":1000");
        return net.start();
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, -5_000, 3_600_000, -3_600_000})
    void gatewayStartedWithWrongClockReadsReplicaOnlyOnceItNoLongerLags(long clockError) throws Exception {
        try (GatewayTestFixture net =
                net(SteppedClock.startedWithError(clockError), "p", "r1").answerReads()) {
            FakeDatabaseServer r1 = net.servers.get("r1");
            r1.answersReads = false;
            r1.loadReportOverride = laggingBy(BOUND_MS + 4_000);
            net.start();
            TestClient client = net.connect();
            assertReadsSucceedFor(net, client, 500);
            net.awaitLog("clock corrected: the servers' wall clock is ");
            assertReadsSucceedFor(net, client, 500);
            assertThat(r1.pendingQueries).as(net::log).isEmpty();
            r1.loadReportOverride = null; // no longer lags
            TestClient toReplica = null;
            for (long began = System.nanoTime(); r1.pendingQueries.isEmpty(); Thread.sleep(20)) {
                assertThat(sinceMs(began)).as(net::log).isLessThan(5_000);
                toReplica = net.connect().sendQuery(net.queryText("page"));
            }
            r1.answersReads = true;
            r1.nextQuery().sendRow(new byte[] {7});
            assertThat(toReplica.readResponse()).as(net::log).isEqualTo(ROW_7);
            assertThat(net.log()).doesNotContain("silent");
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, -5_000, 3_600_000, -3_600_000})
    void correctingWallClockAfterStartDoesNotChangeOffsetAgain(long clockError) throws Exception {
        SteppedClock wrongClock = SteppedClock.startedWithError(clockError);
        try (GatewayTestFixture net = net(wrongClock, "p", "r1").answerReads().start()) {
            TestClient client = net.connect();
            assertReadsSucceedFor(net, client, 500);
            net.awaitLog("clock corrected: ");
            wrongClock.step(-clockError);
            net.awaitLog("wall clock stepped by ");
            assertReadsSucceedFor(net, client, 500);
            assertThat(net.log().lines().filter(line -> line.contains("clock corrected")))
                    .hasSize(1);
            assertThat(net.log()).doesNotContain("silent");
        }
    }

    @Test
    void serverThatStartedLongAgoIsPastSlowStartForGatewayWhoseClockIsAnHourBehind() throws Exception {
        try (GatewayTestFixture net =
                net(SteppedClock.startedWithError(-3_600_000), "p").answerReads()) {
            net.servers.get("p").answersWrites = true;
            setStartTime(net, Clock.system().wallMs() - 600_000);
            net.start();
            TestClient client = net.connect();
            for (long began = System.nanoTime(); !net.log().contains("clock corrected: "); Thread.sleep(10)) {
                // May be rejected: until the clock is corrected, the server seems to have just started.
                client.sendQuery(net.queryText("page")).readResponse();
                assertThat(sinceMs(began)).as(net::log).isLessThan(5_000);
            }
            long began = System.nanoTime();
            for (int i = 0; i < 40; i++) { // in slow start, it would get 10 per second
                assertThat(client.sendQuery(net.queryText("order", 5_000)).readResponse())
                        .as(net::log)
                        .isEqualTo(ROW_7);
            }
            assertThat(sinceMs(began)).as(net::log).isLessThan(2_000);
        }
    }
}
