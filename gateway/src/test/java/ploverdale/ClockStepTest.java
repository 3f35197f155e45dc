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
 * A real gateway on loopback whose wall clock is stepped while it serves, or was off when it started. Spans in
 * milliseconds.
 */
@Timeout(120)
class ClockStepTest {
    private static final String ROW_7 = "row 07 ready";
    private static final long BOUND_MS = 2000; // the staleness bound of "page" reads here

    private final SteppedClock clock = SteppedClock.right();

    /** A gateway whose reads may be no older than {@link #BOUND_MS}. */
    private static Net net(SteppedClock clock, String... servers) throws Exception {
        Net net = new Net(servers);
        net.clock = clock;
        net.settings = told -> told.replace("\"oldestDataMs\":[30000,0,0]", "\"oldestDataMs\":[" + BOUND_MS + ",0,0]");
        return net;
    }

    private static long sinceMs(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    /** Lets real time pass, in which reads go on; they are all served. */
    private static void readsFor(Net net, Client c, long ms) throws Exception {
        for (long began = System.nanoTime(); sinceMs(began) < ms; ) {
            assertThat(net.read(c)).as(net::log).isEqualTo(ROW_7);
            Thread.sleep(10);
        }
    }

    private static String laggingBy(long ms) {
        return "x0=" + (Clock.system().wallMs() - ms) / 1000.0 + ",x1=0,busy=0.1";
    }

    /** Has the list say when its servers started, in Unix ms. */
    private static void startedAt(Net net, long ms) {
        net.registry.whole = net.registry.whole.replace("\"cell\"", "\"up_since_ms\":" + ms + ",\"cell\"");
    }

    private static void assertUndisturbed(Net net) {
        assertThat(net.log()).doesNotContain("silent", "stood still", "in doubt", "corrected");
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, -5_000, 3_600_000, -3_600_000})
    void underLoadAStepEndsNoRequestEarlyAndIsLoggedOnce(long step) throws Exception {
        try (Net net = net(clock, "p", "r1", "r2").readable().started()) {
            Client reader = net.client();
            Client writer = net.client().ask(net.request("order"));
            Got inHand = net.servers.get("p").next();
            readsFor(net, reader, 200);
            clock.step(step);
            readsFor(net, reader, 700);
            net.logged("wall clock stepped by ");
            assertThat(net.servers.get("p").got).isEmpty(); // not sent again
            inHand.row(new byte[] {7});
            assertThat(writer.answer()).as(net::log).isEqualTo(ROW_7);
            writer.ask(net.request("order"));
            net.servers.get("p").next().row(new byte[] {1});
            assertThat(writer.answer()).isEqualTo("row 01 ready");
            assertUndisturbed(net);
            assertThat(net.log().lines().filter(l -> l.contains("wall clock stepped by ")))
                    .hasSize(1);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, -5_000, 3_600_000, -3_600_000})
    void aReplicaThatStopsToFollowIsNotReadOnceItsLastPositionIsTooOldWhateverTheStep(long step) throws Exception {
        try (Net net = net(clock, "p", "r1").readable()) {
            Server r1 = net.servers.get("r1");
            long stopped = System.nanoTime();
            r1.vitals = laggingBy(0);
            net.started();
            Client c = net.client();
            readsFor(net, c, 100);
            clock.step(step);
            readsFor(net, c, BOUND_MS + 100 - sinceMs(stopped));
            r1.reads = false;
            readsFor(net, c, 500);
            assertThat(r1.got).as(net::log).isEmpty();
            assertUndisturbed(net);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, -5_000, 3_600_000, -3_600_000})
    void aServerThatHangsIsSeenAsSilentInTimeWhateverTheStep(long step) throws Exception {
        try (Net net = net(clock, "p", "r1", "r2").readable().started()) {
            readsFor(net, net.client(), 200);
            clock.step(step);
            net.logged("wall clock stepped by ");
            net.servers.get("r1").mute = true;
            long hangs = System.nanoTime();
            while (!net.log().contains("server r1 silent")) {
                net.client().ask(net.request("page", 1000)); // those at r1 wait in vain
                assertThat(sinceMs(hangs)).as(net::log).isLessThan(5_000);
                Thread.sleep(20);
            }
            assertThat(net.log()).doesNotContain("server r2 silent", "server p silent");
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, -5_000, 3_600_000, -3_600_000})
    void whileAServerDrainsAStepBringsItNoRequest(long step) throws Exception {
        try (Net net = net(clock, "p", "r1", "r2").readable().started()) {
            Client c = net.client();
            net.registry.news.add(net.list(2, false, "r1:DRAINING"));
            net.logged("server r1 listed DRAINING");
            clock.step(step);
            net.servers.get("r1").reads = false;
            readsFor(net, c, 700);
            assertThat(net.servers.get("r1").got).as(net::log).isEmpty();
            assertUndisturbed(net);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, -5_000, 3_600_000, -3_600_000})
    void duringAPlannedRestartAStepEndsNoRequestEarlyAndPutsOffNoEnd(long step) throws Exception {
        try (Net net = net(clock, "p")) {
            net.settings = told -> told.replace("\"deadlineMs\":20000", "\"deadlineMs\":1000") // it ends after 1.7 s
                    .replace("\"aimMs\":10000", "\"aimMs\":500");
            net.started();
            Client c = net.client();
            c.ask(net.request("order", 900));
            Got g = net.servers.get("p").next();
            CountDownLatch ended = new CountDownLatch(1);
            long began = System.nanoTime();
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            net.logged("planned restart: 1 connections");
            clock.step(step);
            Thread.sleep(300);
            assertThat(net.servers.get("p").got).isEmpty();
            g.row(new byte[] {7});
            assertThat(c.answer()).as(net::log).startsWith("row 07 ");
            assertThat(ended.await(Net.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
            assertThat(sinceMs(began)).isLessThan(3_000);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, -5_000, 3_600_000, -3_600_000})
    void duringSlowStartTheBudgetFillsAsBeforeWhateverTheStep(long step) throws Exception {
        try (Net net = net(clock, "p").readable()) {
            net.servers.get("p").writes = true;
            // Slow start goes by the agreed traffic where there are no warm peers to go by.
            net.settings = told -> told.replace("\"quotaPerS\":1000", "\"quotaPerS\":15");
            startedAt(net, Clock.system().wallMs());
            net.started();
            Client one = net.client();
            assertThat(one.ask(net.request("order", 5_000)).answer())
                    .as(net::log)
                    .isEqualTo(ROW_7);
            clock.step(step);
            net.servers.get("p").writes = false;
            List<Client> others = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                others.add(net.client().ask(net.request("order", 5_000)));
            }
            Thread.sleep(500);
            int atOnce = net.servers.get("p").got.size(); // some 10 of usual work, at 3 of 10 of its capacity
            assertThat(atOnce).as(net::log).isBetween(2, 15);
            assertUndisturbed(net);
        }
    }

    /** The window is 1 s from the first attempt; the server drops the connection after that. */
    @ParameterizedTest
    @ValueSource(longs = {-5_000, -3_600_000})
    void aStepBackLengthensNoRepeatWindow(long step) throws Exception {
        try (Net net = tokened()) {
            Client c = net.client().ask(net.request("order"));
            Got g = net.servers.get("p").next();
            clock.step(step);
            Thread.sleep(1_200);
            g.reset();
            assertThat(c.answer()).as(net::log).isEqualTo("58000 ready");
            assertThat(net.servers.get("p").got).isEmpty();
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, 3_600_000})
    void aStepForwardEndsNoRepeatWindow(long step) throws Exception {
        try (Net net = tokened()) {
            Client c = net.client().ask(net.request("order"));
            Got g = net.servers.get("p").next();
            clock.step(step);
            g.reset();
            net.servers.get("p").next().row(new byte[] {7});
            assertThat(c.answer()).as(net::log).isEqualTo(ROW_7);
        }
    }

    private Net tokened() throws Exception {
        Net net = net(clock, "p").readable();
        net.settings = told -> told.replace(
                "\"effect\":\"once\"", "\"effect\":\"by_key\",\"dedupScope\":\"cell\",\"dedupWindowMs\":1000");
        return net.started();
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, -5_000, 3_600_000, -3_600_000})
    void aGatewayStartedWithItsClockOffReadsNoLaggingReplicaAndUsesItAgainOnceLevel(long off) throws Exception {
        try (Net net = net(SteppedClock.startedOff(off), "p", "r1").readable()) {
            Server r1 = net.servers.get("r1");
            r1.reads = false;
            r1.vitals = laggingBy(BOUND_MS + 4_000);
            net.started();
            Client c = net.client();
            readsFor(net, c, 500);
            net.logged("clock corrected: the servers' wall clock is ");
            readsFor(net, c, 500);
            assertThat(r1.got).as(net::log).isEmpty();
            r1.vitals = null; // level again
            Client toReplica = null;
            for (long began = System.nanoTime(); r1.got.isEmpty(); Thread.sleep(20)) {
                assertThat(sinceMs(began)).as(net::log).isLessThan(5_000);
                toReplica = net.client().ask(net.request("page"));
            }
            r1.reads = true;
            r1.next().row(new byte[] {7});
            assertThat(toReplica.answer()).as(net::log).isEqualTo(ROW_7);
            assertThat(net.log()).doesNotContain("silent");
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {5_000, -5_000, 3_600_000, -3_600_000})
    void aWallClockThatIsPutRightAfterTheStartChangesNothingMore(long off) throws Exception {
        SteppedClock was = SteppedClock.startedOff(off);
        try (Net net = net(was, "p", "r1").readable().started()) {
            Client c = net.client();
            readsFor(net, c, 500);
            net.logged("clock corrected: ");
            was.step(-off);
            net.logged("wall clock stepped by ");
            readsFor(net, c, 500);
            assertThat(net.log().lines().filter(l -> l.contains("clock corrected")))
                    .hasSize(1);
            assertThat(net.log()).doesNotContain("silent");
        }
    }

    @Test
    void aServerThatStartedLongAgoIsNotColdForAGatewayWhoseClockIsAnHourBehind() throws Exception {
        try (Net net = net(SteppedClock.startedOff(-3_600_000), "p").readable()) {
            net.servers.get("p").writes = true;
            startedAt(net, Clock.system().wallMs() - 600_000);
            net.started();
            Client c = net.client();
            for (long began = System.nanoTime(); !net.log().contains("clock corrected: "); Thread.sleep(10)) {
                c.ask(net.request("page")).answer(); // or is refused: it may have started just now
                assertThat(sinceMs(began)).as(net::log).isLessThan(5_000);
            }
            long began = System.nanoTime();
            for (int i = 0; i < 40; i++) { // a cold one would take 10 a second
                assertThat(c.ask(net.request("order", 5_000)).answer())
                        .as(net::log)
                        .isEqualTo(ROW_7);
            }
            assertThat(sinceMs(began)).as(net::log).isLessThan(2_000);
        }
    }
}
