package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A server that begins to drain while an attempt waits for its connection, or while the gateway is held up. */
@Timeout(120)
class DrainWhileConnectingTest {
    private static final String ROW_7 = "row 07 ready";
    private static final long DRAIN_GRACE_MS =
            500; // as in the example settings; counted to the first byte of an attempt
    private static final long HELD_UP_MS = 150;

    @Test
    void anAttemptThatWaitedForItsConnectionIsNotWrittenToAServerThatDrainsByThen() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            FakeDatabaseServer primary = net.servers.get("p");
            TestClient first = net.client().ask(net.request("order"));
            ReceivedQuery inHand = primary.next(); // has the connection that the probe opened
            primary.holdsGreetings = new CountDownLatch(1);
            primary.connects.clear();
            TestClient second = net.client().ask(net.request("order", 4000));
            assertThat(primary.connects.poll(GatewayTestFixture.PATIENCE_S, TimeUnit.SECONDS))
                    .as(net::log)
                    .isNotNull();
            net.registry.news.add(net.list(2, false, "p:DRAINING"));
            net.logged("server p listed DRAINING");
            Thread.sleep(DRAIN_GRACE_MS + 100); // the connection comes up later than the grace ends
            primary.holdsGreetings.countDown();
            assertThat(second.answer()).as(net::log).startsWith("53300");
            assertThat(primary.got).as("attempts after the grace").isEmpty();
            inHand.row(new byte[] {7}); // what it has begun it ends
            assertThat(first.answer()).isEqualTo(ROW_7);
        }
    }

    @Test
    void aHealthCheckThatWaitedForItsConnectionIsNotWrittenToAServerThatDrainsByThen() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").readable()) {
            FakeDatabaseServer draining = net.servers.get("r1");
            draining.holdsGreetings = new CountDownLatch(1);
            net.started();
            draining.connects.clear();
            TestClient client = net.client();
            while (draining.connects.isEmpty()) {
                assertThat(net.read(client)).as(net::log).isEqualTo(ROW_7);
                Thread.sleep(5);
            }
            net.registry.news.add(net.list(2, false, "r1:DRAINING"));
            net.logged("server r1 listed DRAINING");
            Thread.sleep(DRAIN_GRACE_MS + 100);
            draining.holdsGreetings.countDown();
            Thread.sleep(300); // many times what a written check takes
            assertThat(draining.probed).as(net::log).isZero();
        }
    }

    @Test
    void whatComesWhileTheGatewayIsHeldUpAndItsServerBeginsToDrainIsForwardedWithinTheGraceOrNot() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").readable().started()) {
            FakeDatabaseServer draining = net.servers.get("r1");
            draining.reads = false;
            try (AnsweringServer answers = new AnsweringServer(draining, got -> got.row(new byte[] {7}))) {
                TestClient client = net.client();
                for (int i = 0; i < 20; i++) {
                    assertThat(net.read(client)).as(net::log).isEqualTo(ROW_7);
                }
                net.registry.asked("/registry/instances?from=1&hold_ms=2000");
                net.pauseWhileReading();
                net.registry.news.add(net.list(2, false, "r1:DRAINING"));
                long told = System.nanoTime();
                for (int i = 0; i < 8; i++) {
                    client.ask(net.request("page"));
                }
                Thread.sleep(HELD_UP_MS); // the pause itself
                net.goOn();
                for (int i = 0; i < 8; i++) {
                    assertThat(client.answer()).as(net::log).isEqualTo(ROW_7);
                }
                net.logged("server r1 listed DRAINING");
                assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - told))
                        .as(net::log)
                        .isLessThan(DRAIN_GRACE_MS);
                int before = answers.queries.size();
                for (int i = 0; i < 50; i++) {
                    assertThat(net.read(client)).as(net::log).isEqualTo(ROW_7);
                }
                assertThat(answers.queries).hasSize(before);
            }
        }
    }
}
