package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ploverdale.net.postgres.MessageWriter;

/** A request that has been read is answered before the gateway ends its connection, on a new connection too. */
@Timeout(120)
class UnansweredCloseTest {
    private static final String SERVED = "row 07 ready";
    private static final String REFUSED = "53300 ready";
    private static final int FEW_DESCRIPTORS = 64; // 28 connections of clients
    private static final int CLIENTS_MOST = 28;
    private static final Buffer UNKNOWN_MESSAGE =
            Buffer.buffer().appendByte((byte) '?').appendInt(4);

    private static Buffer order(GatewayTestFixture net) {
        return MessageWriter.query(net.request("order"));
    }

    /** As many clients as there may be, each with a request that waits for a group without servers, so that none is idle. */
    private static void fill(GatewayTestFixture net) throws Exception {
        for (int i = 0; i < CLIENTS_MOST; i++) {
            net.client().ask(net.request("order").replace("cluster=1", "cluster=2"));
        }
        Thread.sleep(50); // all have been read
    }

    @Test
    void aRequestBehindAStartupMessageIsRefusedWhereThereIsNoRoomForItsConnection() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started(FEW_DESCRIPTORS, 30_000)) {
            fill(net);
            TestClient client =
                    new TestClient(net.gateway.port()).write(MessageWriter.startup().appendBuffer(order(net)));
            assertThat(client.answer()).as(net::log).isEqualTo("53300 closed");
            assertThat(client.howItEnds()).isEqualTo("end");
        }
    }

    @Test
    void eachRequestBehindAStartupMessageIsRefusedWhereThereIsNoRoomForItsConnection() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started(FEW_DESCRIPTORS, 30_000)) {
            fill(net);
            Buffer all = MessageWriter.startup()
                    .appendBuffer(order(net))
                    .appendBuffer(order(net))
                    .appendBuffer(order(net));
            TestClient client = new TestClient(net.gateway.port()).write(all);
            assertThat(client.answer())
                    .as(net::log)
                    .isEqualTo("53300 53300 ready"); // the first is fatal, without a ready
            assertThat(client.answer()).isEqualTo(REFUSED);
            assertThat(client.answer()).isEqualTo("closed");
        }
    }

    @Test
    void aRequestBehindAMalformedMessageIsRefusedBeforeTheConnectionEnds() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            net.servers.get("p").writes = true;
            TestClient client =
                    net.client().write(order(net).appendBuffer(UNKNOWN_MESSAGE).appendBuffer(order(net)));
            assertThat(client.answer()).as(net::log).isEqualTo(SERVED);
            assertThat(client.answer()).isEqualTo("08P01 53300 ready");
            assertThat(client.answer()).isEqualTo("closed");
        }
    }

    @Test
    void aRequestReadWhileTheAnswerBeforeAMalformedMessageIsAwaitedIsRefusedAndNotForwarded() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            TestClient client = net.client().ask(net.request("order"));
            ReceivedQuery first = net.servers.get("p").next();
            client.write(UNKNOWN_MESSAGE);
            net.logged("bad input from a client");
            client.write(order(net));
            Thread.sleep(100); // read by now
            first.row(new byte[] {7});
            assertThat(client.answer()).as(net::log).isEqualTo(SERVED);
            assertThat(client.answer()).isEqualTo("08P01 53300 ready");
            assertThat(client.answer()).isEqualTo("closed");
            assertThat(net.servers.get("p").got).isEmpty();
        }
    }

    @Test
    void anUnfinishedRequestBehindOneInHandIsRefusedAtTheEndOfAGracefulShutdown() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            net.settings = told -> told.replace("\"deadlineMs\":20000", "\"deadlineMs\":1000"); // it ends after 1.7 s
            net.started();
            TestClient client = net.client();
            Buffer order = order(net);
            client.ask(net.request("order")).write(order.getBuffer(0, 20));
            net.servers.get("p").next();
            CountDownLatch ended = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            assertThat(client.answer()).as(net::log).startsWith("58000");
            assertThat(client.answer()).as(net::log).isEqualTo("57P03 closed");
        }
    }

    @Test
    void eachOfManyPipelinedRequestsIsAnswered() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            TestClient client = net.client();
            int requests = 60;
            Buffer all = Buffer.buffer();
            for (int i = 0; i < requests; i++) { // 540 KB: more than is read ahead
                all.appendBuffer(MessageWriter.query(net.request("order").replace("\\x01", "\\x" + "01".repeat(4500))));
            }
            client.write(all);
            List<ReceivedQuery> inHand = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                inHand.add(net.servers.get("p").next());
            }
            Thread.sleep(100); // the others have been read meanwhile
            net.servers.get("p").writes = true;
            for (ReceivedQuery g : inHand) {
                g.row(new byte[] {7});
            }
            List<String> answers = new ArrayList<>();
            for (int i = 0; i < requests; i++) {
                answers.add(client.answer());
            }
            assertThat(answers).as(net::log).allMatch(a -> a.equals(SERVED) || a.startsWith("53300"));
            assertThat(answers.subList(0, 8)).containsOnly(SERVED);
        }
    }

    @Test
    void aNewConnectionWithoutAStartupMessageIsRefusedNotFailedWhenAGracefulShutdownEndsIt() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            TestClient other = net.client();
            CountDownLatch ended = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            net.logged("planned restart: 1 connections");
            TestClient silent = new TestClient(net.gateway.port());
            assertThat(silent.answer()).as(net::log).isEqualTo("57P03 closed");
            assertThat(other.answer()).isEqualTo("closed");
        }
    }

    @Test
    void aNewConnectionThatEndsForLackOfRoomBeforeItsStartupMessageIsRefusedNotFailed() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started(FEW_DESCRIPTORS, 30_000)) {
            List<TestClient> silent = new ArrayList<>();
            for (int i = 0; i < CLIENTS_MOST / 2; i++) { // more than a third of the clients' share
                silent.add(new TestClient(net.gateway.port()));
            }
            assertThat(silent.get(0).answer()).as(net::log).isEqualTo("53300 closed");
            for (TestClient c : silent) {
                c.close();
            }
        }
    }

    @Test
    void anUnfinishedRequestThatEndsForLackOfMemoryIsRefusedNotFailed() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            List<TestClient> unfinished = new ArrayList<>();
            for (int i = 0; i < 140; i++) {
                Buffer begun = Buffer.buffer()
                        .appendByte((byte) 'Q')
                        .appendInt(130_000)
                        .appendBytes(new byte[125_000]);
                unfinished.add(net.client().write(begun));
            }
            assertThat(unfinished.get(0).answer()).as(net::log).isEqualTo("53300 closed");
        }
    }

    @Test
    void aRequestThatCrossesTheEndOfAnIdleConnectionIsNotForwardedAndItsClientSeesAnOrderlyEnd() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started(FEW_DESCRIPTORS, 30_000)) {
            List<TestClient> idle = new ArrayList<>();
            for (int i = 0; i < 15; i++) { // so many that idle connections end soon
                idle.add(net.client());
            }
            for (TestClient c : idle.subList(0, 3)) {
                assertThat(c.readByte()).isEqualTo(-1);
                c.ask(net.request("order")); // written before the end was known, for all that the gateway can tell
                assertThat(c.howItEnds()).as(net::log).isEqualTo("end");
            }
            Thread.sleep(600); // until the gateway has closed these connections
            assertThat(net.servers.get("p").got).isEmpty();
        }
    }
}
