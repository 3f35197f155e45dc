package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ploverdale.net.postgres.MessageWriter;

/** Checks that clients that stall in the middle of a message get an error or a close within 3 s. */
@Timeout(120)
class StalledClientTest {
    private static final long ANSWER_WITHIN_MS = 3000;
    private static final int SSL_REQUEST = 80877103;
    private static final int CANCEL_REQUEST = 80877102;
    private static final int PIPELINED = 12; // more than the pipeline slots of one client

    /** Where a client stops writing before its first request is complete. */
    enum StallPoint {
        CONNECTED(Buffer.buffer()),
        PART_OF_A_LENGTH(Buffer.buffer().appendByte((byte) 0).appendByte((byte) 0)),
        LENGTH_OF_A_STARTUP_MESSAGE(Buffer.buffer().appendInt(40)),
        HALF_A_STARTUP_MESSAGE(firstHalf(MessageWriter.startup())),
        SSL_REQUESTED(Buffer.buffer().appendInt(8).appendInt(SSL_REQUEST)),
        HALF_AN_SSL_REQUEST(Buffer.buffer().appendInt(8).appendShort((short) 1234)),
        SSL_REQUESTED_AND_HALF_A_STARTUP_MESSAGE(
                Buffer.buffer().appendInt(8).appendInt(SSL_REQUEST).appendBuffer(firstHalf(MessageWriter.startup()))),
        HALF_A_CANCEL_REQUEST(
                Buffer.buffer().appendInt(16).appendInt(CANCEL_REQUEST).appendInt(1)),
        TYPE_OF_A_QUERY(MessageWriter.startup().appendByte((byte) 'Q')),
        PART_OF_A_QUERY_LENGTH(MessageWriter.startup().appendByte((byte) 'Q').appendShort((short) 0)),
        HALF_A_QUERY(MessageWriter.startup().appendBuffer(firstHalf(MessageWriter.query("SELECT 1")))),
        HALF_A_QUERY_AFTER_AN_EMPTY_ONE(MessageWriter.startup()
                .appendBuffer(MessageWriter.query(""))
                .appendBuffer(firstHalf(MessageWriter.query("SELECT 1"))));

        private final Buffer written;

        StallPoint(Buffer written) {
            this.written = written;
        }

        private static Buffer firstHalf(Buffer message) {
            return message.getBuffer(0, message.length() / 2);
        }
    }

    private static void readToTheEnd(TestClient client) throws Exception {
        for (int read = client.readByte(); read >= 0; ) {
            read = client.readByte();
        }
    }

    @Test
    void connectionsThatStallBeforeTheirFirstRequestIsCompleteAreClosedInTime() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            Map<StallPoint, TestClient> stalled = new EnumMap<>(StallPoint.class);
            long stalledNanos = System.nanoTime();
            for (StallPoint stallPoint : StallPoint.values()) {
                stalled.put(stallPoint, new TestClient(net.gateway.port()).write(stallPoint.written));
            }
            for (StallPoint stallPoint : StallPoint.values()) {
                readToTheEnd(stalled.get(stallPoint));
                assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stalledNanos))
                        .as("%s:\n%s", stallPoint, net.log())
                        .isLessThan(ANSWER_WITHIN_MS);
            }
        }
    }

    @Test
    void aClientThatStallsInAMessageThatIsNotAcceptedGetsItsErrorInTime() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            long startNanos = System.nanoTime();
            TestClient tooLong = net.connect()
                    .write(Buffer.buffer()
                            .appendByte((byte) 'Q')
                            .appendInt(1_000_000)
                            .appendInt(0));
            assertThat(tooLong.readResponse()).as(net::log).isEqualTo("54000 ready");
            TestClient unsupported = net.connect()
                    .write(Buffer.buffer().appendByte((byte) 'P').appendInt(20).appendInt(0));
            assertThat((char) unsupported.readByte()).as(net::log).isEqualTo('E');
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                    .as(net::log)
                    .isLessThan(ANSWER_WITHIN_MS);
        }
    }

    @Test
    void aClientThatWritesOneByteAtATimeIsClosedInTime() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient client = net.connect();
            Buffer query = MessageWriter.query(net.queryText("page"));
            long startNanos = System.nanoTime();
            Thread writer = new Thread(() -> {
                try {
                    for (int i = 0; i < query.length() - 1; i++) {
                        client.write(query.getBuffer(i, i + 1));
                        Thread.sleep(200);
                    }
                } catch (java.io.IOException | InterruptedException e) {
                    return; // expected: the gateway closes the connection
                }
            });
            writer.start();
            assertThat(client.readResponse()).as(net::log).isEqualTo("08P01 closed");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                    .as(net::log)
                    .isLessThan(ANSWER_WITHIN_MS);
            client.close();
            writer.join(TimeUnit.SECONDS.toMillis(GatewayTestFixture.TIMEOUT_S));
        }
    }

    @Test
    void aClientThatStallsInItsSecondRequestGetsTheFirstAnswerAndThenAnError() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient client = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery first = net.servers.get("p").nextQuery();
            Buffer second = MessageWriter.query(net.queryText("order"));
            client.write(second.getBuffer(0, second.length() / 2));
            net.awaitLog("client with an unfinished message");
            first.sendRow(new byte[] {7});
            assertThat(client.readResponse()).as(net::log).isEqualTo("row 07 ready");
            long answeredNanos = System.nanoTime();
            assertThat(client.readResponse()).as(net::log).isEqualTo("08P01 closed");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - answeredNanos))
                    .isLessThan(ANSWER_WITHIN_MS);
            assertThat(net.servers.get("p").pendingQueries).isEmpty();
        }
    }

    @Test
    void aClientThatStallsAfterMoreRequestsThanPipelineSlotsGetsItsAnswersAndThenAnError() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            net.servers.get("p").answersWrites = true;
            TestClient client = net.connect();
            Buffer messages = Buffer.buffer();
            for (int i = 0; i < PIPELINED; i++) {
                messages.appendBuffer(MessageWriter.query(net.queryText("order")));
            }
            Buffer last = MessageWriter.query(net.queryText("order"));
            client.write(messages.appendBuffer(last.getBuffer(0, last.length() / 2)));
            for (int i = 0; i < PIPELINED; i++) {
                assertThat(client.readResponse()).as(net::log).isEqualTo("row 07 ready");
            }
            long answeredNanos = System.nanoTime();
            assertThat(client.readResponse()).as(net::log).isEqualTo("08P01 closed");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - answeredNanos))
                    .isLessThan(ANSWER_WITHIN_MS);
        }
    }

    @Test
    void clientsThatStallInAMessageDoNotKeepOthersFromBeingServed() throws Exception {
        try (GatewayTestFixture net =
                new GatewayTestFixture("p", "r1").start(64, 30_000).answerReads()) {
            List<TestClient> stalled = new ArrayList<>();
            for (int i = 0; i < 20; i++) { // of 28 client connections allowed
                stalled.add(net.connect()
                        .write(Buffer.buffer().appendByte((byte) 'Q').appendInt(50)));
            }
            assertThat(net.readWithRetries(net.connect())).as(net::log).isEqualTo("row 07 ready");
            for (TestClient client : stalled) {
                assertThat(client.readResponse()).as(net::log).isEqualTo("08P01 closed");
            }
        }
    }
}
