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
        return MessageWriter.query(net.queryText("order"));
    }

    /** As many clients as there may be, each with a request that waits for a group without servers, so that none is idle. */
    private static void fill(GatewayTestFixture net) throws Exception {
        for (int i = 0; i < CLIENTS_MOST; i++) {
            net.connect().sendQuery(net.queryText("order").replace("cluster=1", "cluster=2"));
        }
        Thread.sleep(50); // all have been read
    }

    @Test
    void aRequestBehindAStartupMessageIsRefusedWhereThereIsNoRoomForItsConnection() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start(FEW_DESCRIPTORS, 30_000)) {
            fill(net);
            TestClient client = new TestClient(net.gateway.port())
                    .write(MessageWriter.startup().appendBuffer(order(net)));
            assertThat(client.readResponse()).as(net::log).isEqualTo("53300 closed");
            assertThat(client.readUntilClosed()).isEqualTo("end");
        }
    }

    @Test
    void eachRequestBehindAStartupMessageIsRefusedWhereThereIsNoRoomForItsConnection() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start(FEW_DESCRIPTORS, 30_000)) {
            fill(net);
            Buffer all = MessageWriter.startup()
                    .appendBuffer(order(net))
                    .appendBuffer(order(net))
                    .appendBuffer(order(net));
            TestClient client = new TestClient(net.gateway.port()).write(all);
            assertThat(client.readResponse())
                    .as(net::log)
                    .isEqualTo("53300 53300 ready"); // the first is fatal, without a ready
            assertThat(client.readResponse()).isEqualTo(REFUSED);
            assertThat(client.readResponse()).isEqualTo("closed");
        }
    }

    @Test
    void aRequestBehindAMalformedMessageIsRefusedBeforeTheConnectionEnds() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            net.servers.get("p").answersWrites = true;
            TestClient client =
                    net.connect().write(order(net).appendBuffer(UNKNOWN_MESSAGE).appendBuffer(order(net)));
            assertThat(client.readResponse()).as(net::log).isEqualTo(SERVED);
            assertThat(client.readResponse()).isEqualTo("08P01 53300 ready");
            assertThat(client.readResponse()).isEqualTo("closed");
        }
    }

    @Test
    void aRequestReadWhileTheAnswerBeforeAMalformedMessageIsAwaitedIsRefusedAndNotForwarded() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient client = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery first = net.servers.get("p").nextQuery();
            client.write(UNKNOWN_MESSAGE);
            net.awaitLog("bad input from a client");
            client.write(order(net));
            Thread.sleep(100); // read by now
            first.sendRow(new byte[] {7});
            assertThat(client.readResponse()).as(net::log).isEqualTo(SERVED);
            assertThat(client.readResponse()).isEqualTo("08P01 53300 ready");
            assertThat(client.readResponse()).isEqualTo("closed");
            assertThat(net.servers.get("p").pendingQueries).isEmpty();
        }
    }

    @Test
    void anUnfinishedRequestBehindOneInHandIsRefusedAtTheEndOfAGracefulShutdown() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            net.configurationEdit =
                    told -> told.replace("\"deadlineMs\":20000", "\"deadlineMs\":1000"); // it ends after 1.7 s
            net.start();
            TestClient client = net.connect();
            Buffer order = order(net);
            client.sendQuery(net.queryText("order")).write(order.getBuffer(0, 20));
            net.servers.get("p").nextQuery();
            CountDownLatch ended = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            assertThat(client.readResponse()).as(net::log).startsWith("58000");
            assertThat(client.readResponse()).as(net::log).isEqualTo("57P03 closed");
        }
    }

    @Test
    void eachOfManyPipelinedRequestsIsAnswered() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient client = net.connect();
            int requests = 60;
            Buffer all = Buffer.buffer();
            for (int i = 0; i < requests; i++) { // 540 KB: more than is read ahead
                all.appendBuffer(
                        MessageWriter.query(net.queryText("order").replace("\\x01", "\\x" + "01".repeat(4500))));
            }
            client.write(all);
            List<ReceivedQuery> inHand = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                inHand.add(net.servers.get("p").nextQuery());
            }
            Thread.sleep(100); // the others have been read meanwhile
            net.servers.get("p").answersWrites = true;
            for (ReceivedQuery g : inHand) {
                g.sendRow(new byte[] {7});
            }
            List<String> answers = new ArrayList<>();
            for (int i = 0; i < requests; i++) {
                answers.add(client.readResponse());
            }
            assertThat(answers).as(net::log).allMatch(a -> a.equals(SERVED) || a.startsWith("53300"));
            assertThat(answers.subList(0, 8)).containsOnly(SERVED);
        }
    }

    @Test
    void aNewConnectionWithoutAStartupMessageIsRefusedNotFailedWhenAGracefulShutdownEndsIt() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient other = net.connect();
            CountDownLatch ended = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            net.awaitLog("planned restart: 1 connections");
            TestClient silent = new TestClient(net.gateway.port());
            assertThat(silent.readResponse()).as(net::log).isEqualTo("57P03 closed");
            assertThat(other.readResponse()).isEqualTo("closed");
        }
    }

    @Test
    void aNewConnectionThatEndsForLackOfRoomBeforeItsStartupMessageIsRefusedNotFailed() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start(FEW_DESCRIPTORS, 30_000)) {
            List<TestClient> silent = new ArrayList<>();
            for (int i = 0; i < CLIENTS_MOST / 2; i++) { // more than a third of the clients' share
                silent.add(new TestClient(net.gateway.port()));
            }
            assertThat(silent.get(0).readResponse()).as(net::log).isEqualTo("53300 closed");
            for (TestClient c : silent) {
                c.close();
            }
        }
    }

    @Test
    void anUnfinishedRequestThatEndsForLackOfMemoryIsRefusedNotFailed() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            List<TestClient> unfinished = new ArrayList<>();
            for (int i = 0; i < 140; i++) {
                Buffer begun = Buffer.buffer()
                        .appendByte((byte) 'Q')
                        .appendInt(130_000)
                        .appendBytes(new byte[125_000]);
                unfinished.add(net.connect().write(begun));
            }
            assertThat(unfinished.get(0).readResponse()).as(net::log).isEqualTo("53300 closed");
        }
    }

    @Test
    void aRequestThatCrossesTheEndOfAnIdleConnectionIsNotForwardedAndItsClientSeesAnOrderlyEnd() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start(FEW_DESCRIPTORS, 30_000)) {
            List<TestClient> idle = new ArrayList<>();
            for (int i = 0; i < 15; i++) { // so many that idle connections end soon
                idle.add(net.connect());
            }
            for (TestClient c : idle.subList(0, 3)) {
                assertThat(c.readByte()).isEqualTo(-1);
                c.sendQuery(
                        net.queryText("order")); // written before the end was known, for all that the gateway can tell
                assertThat(c.readUntilClosed()).as(net::log).isEqualTo("end");
            }
            Thread.sleep(600); // until the gateway has closed these connections
            assertThat(net.servers.get("p").pendingQueries).isEmpty();
        }
    }
}
