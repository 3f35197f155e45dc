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

/** Clients that stop in the middle of something and stay connected: each is owed an error or a close within 3 s. */
@Timeout(120)
class StalledClientTest {
    private static final long OWED_WITHIN_MS = 3000;
    private static final int SSL_REQUEST = 80877103;
    private static final int CANCEL_REQUEST = 80877102;
    private static final int PIPELINED = 12; // more than a gateway takes of one client at once

    /** Where a client stops before its first request is whole. */
    enum EndpointState {
        CONNECTED(Buffer.buffer()),
        PART_OF_A_LENGTH(Buffer.buffer().appendByte((byte) 0).appendByte((byte) 0)),
        LENGTH_OF_A_STARTUP(Buffer.buffer().appendInt(40)),
        HALF_A_STARTUP(firstHalf(MessageWriter.startup())),
        SSL_REQUESTED(Buffer.buffer().appendInt(8).appendInt(SSL_REQUEST)),
        HALF_AN_SSL_REQUEST(Buffer.buffer().appendInt(8).appendShort((short) 1234)),
        SSL_REQUESTED_AND_HALF_A_STARTUP(
                Buffer.buffer().appendInt(8).appendInt(SSL_REQUEST).appendBuffer(firstHalf(MessageWriter.startup()))),
        HALF_A_CANCEL_REQUEST(
                Buffer.buffer().appendInt(16).appendInt(CANCEL_REQUEST).appendInt(1)),
        TYPE_OF_A_QUERY(MessageWriter.startup().appendByte((byte) 'Q')),
        PART_OF_A_QUERY_LENGTH(MessageWriter.startup().appendByte((byte) 'Q').appendShort((short) 0)),
        HALF_A_QUERY(MessageWriter.startup().appendBuffer(firstHalf(MessageWriter.query("SELECT 1")))),
        HALF_A_QUERY_BEHIND_AN_EMPTY_ONE(MessageWriter.startup()
                .appendBuffer(MessageWriter.query(""))
                .appendBuffer(firstHalf(MessageWriter.query("SELECT 1"))));

        private final Buffer written;

        EndpointState(Buffer written) {
            this.written = written;
        }

        private static Buffer firstHalf(Buffer whole) {
            return whole.getBuffer(0, whole.length() / 2);
        }
    }

    private static void readToTheEnd(TestClient client) throws Exception {
        for (int read = client.readByte(); read >= 0; ) {
            read = client.readByte();
        }
    }

    @Test
    void clientsThatStopBeforeTheirFirstRequestIsWholeAreEndedInTimeAtEveryStage() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            Map<EndpointState, TestClient> stalled = new EnumMap<>(EndpointState.class);
            long stopped = System.nanoTime();
            for (EndpointState stage : EndpointState.values()) {
                stalled.put(stage, new TestClient(net.gateway.port()).write(stage.written));
            }
            for (EndpointState stage : EndpointState.values()) {
                readToTheEnd(stalled.get(stage));
                assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stopped))
                        .as("%s:\n%s", stage, net.log())
                        .isLessThan(OWED_WITHIN_MS);
            }
        }
    }

    @Test
    void aClientThatStopsInAMessageThatIsNotTakenHasItsErrorByThen() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            long began = System.nanoTime();
            TestClient tooLong = net.connect()
                    .write(Buffer.buffer()
                            .appendByte((byte) 'Q')
                            .appendInt(1_000_000)
                            .appendInt(0));
            assertThat(tooLong.readResponse()).as(net::log).isEqualTo("54000 ready");
            TestClient notSpoken = net.connect()
                    .write(Buffer.buffer().appendByte((byte) 'P').appendInt(20).appendInt(0));
            assertThat((char) notSpoken.readByte()).as(net::log).isEqualTo('E');
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began))
                    .as(net::log)
                    .isLessThan(OWED_WITHIN_MS);
        }
    }

    @Test
    void aClientThatWritesAByteNowAndThenIsEndedInTime() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient client = net.connect();
            Buffer query = MessageWriter.query(net.queryText("page"));
            long began = System.nanoTime();
            Thread writes = new Thread(() -> {
                try {
                    for (int i = 0; i < query.length() - 1; i++) {
                        client.write(query.getBuffer(i, i + 1));
                        Thread.sleep(200);
                    }
                } catch (java.io.IOException | InterruptedException e) {
                    return; // ended, as it should be
                }
            });
            writes.start();
            assertThat(client.readResponse()).as(net::log).isEqualTo("08P01 closed");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began))
                    .as(net::log)
                    .isLessThan(OWED_WITHIN_MS);
            client.close();
            writes.join(TimeUnit.SECONDS.toMillis(GatewayTestFixture.TIMEOUT_S));
        }
    }

    @Test
    void aClientThatStopsInItsSecondRequestGetsTheFirstAnswerAndThenItsError() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient client = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery first = net.servers.get("p").nextQuery();
            Buffer second = MessageWriter.query(net.queryText("order"));
            client.write(second.getBuffer(0, second.length() / 2));
            net.awaitLog("client with an unfinished message");
            first.sendRow(new byte[] {7});
            assertThat(client.readResponse()).as(net::log).isEqualTo("row 07 ready");
            long answered = System.nanoTime();
            assertThat(client.readResponse()).as(net::log).isEqualTo("08P01 closed");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - answered))
                    .isLessThan(OWED_WITHIN_MS);
            assertThat(net.servers.get("p").pendingQueries).isEmpty();
        }
    }

    @Test
    void aClientThatStopsBehindMoreRequestsThanAreTakenAtOnceGetsItsAnswersAndThenItsError() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            net.servers.get("p").answersWrites = true;
            TestClient client = net.connect();
            Buffer all = Buffer.buffer();
            for (int i = 0; i < PIPELINED; i++) {
                all.appendBuffer(MessageWriter.query(net.queryText("order")));
            }
            Buffer last = MessageWriter.query(net.queryText("order"));
            client.write(all.appendBuffer(last.getBuffer(0, last.length() / 2)));
            for (int i = 0; i < PIPELINED; i++) {
                assertThat(client.readResponse()).as(net::log).isEqualTo("row 07 ready");
            }
            long answered = System.nanoTime();
            assertThat(client.readResponse()).as(net::log).isEqualTo("08P01 closed");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - answered))
                    .isLessThan(OWED_WITHIN_MS);
        }
    }

    @Test
    void clientsThatStopInTheirSecondRequestKeepNoOtherFromBeingServed() throws Exception {
        try (GatewayTestFixture net =
                new GatewayTestFixture("p", "r1").start(64, 30_000).answerReads()) {
            List<TestClient> stalled = new ArrayList<>();
            for (int i = 0; i < 20; i++) { // of 28 that clients may hold
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
