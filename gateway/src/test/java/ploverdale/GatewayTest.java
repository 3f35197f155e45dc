package ploverdale;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ResultRow;
import ploverdale.net.postgres.ServerMessage;

/** Tests a real gateway among fake servers, a fake discovery and clients on loopback. */
@Timeout(120)
class GatewayTest {
    private static final String ROW_7 = "row 07 ready";

    private static Buffer bytes(char type, int length) {
        return Buffer.buffer().appendByte((byte) type).appendInt(length);
    }

    @Test
    void aValueIsForwardedUnchangedAndTheServerIsSentTheRemainingDeadline() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start()) {
            byte[] value = new byte[64 * 1024];
            for (int i = 0; i < value.length; i++) {
                value[i] = (byte) i;
            }
            TestClient client = fixture.connect().sendQuery(fixture.queryText("order", 9000));
            ReceivedQuery query = fixture.servers.get("p").nextQuery();
            assertThat(query.text())
                    .startsWith("INSERT INTO state (uid, val) VALUES ('k', '\\x01') RETURNING val /* id=1,");
            String wait = query.text().replaceAll(".*,d=(\\d+),.*", "$1");
            assertThat(Integer.parseInt(wait)).isBetween(1, 9000);
            query.sendRow(value);
            assertThat(client.readResponse())
                    .isEqualTo("row " + java.util.HexFormat.of().formatHex(value) + " ready");
        }
    }

    @Test
    void theGatewayListensOnlyAfterTheFirstHealthChecks() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1").start()) {
            for (FakeDatabaseServer server : fixture.servers.values()) {
                assertThat(server.healthChecks).as(fixture::log).isPositive();
                assertThat(server.pendingQueries).isEmpty(); // no request of the warm-up run reaches a server
            }
            assertThat(fixture.log()
                            .lines()
                            .filter(l -> l.contains("primary p") || l.contains("listens"))
                            .toList())
                    .hasSize(2)
                    .last()
                    .asString()
                    .contains("listens");
        }
    }

    @Test
    void theDeadlineOfARequestReceivedBeforeServiceStartsCountsFromItsArrival() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p")) {
            FakeDatabaseServer primary = fixture.servers.get("p");
            primary.healthCheckGate = new CountDownLatch(1);
            TestClient client = fixture.connectDuringStartup(fixture.queryText("order", 9000));
            long receivedNanos = System.nanoTime();
            while (System.nanoTime() - receivedNanos < TimeUnit.MILLISECONDS.toNanos(300)) {
                Thread.onSpinWait(); // service cannot start before the first health check has completed
            }
            primary.healthCheckGate.countDown();
            ReceivedQuery query = primary.nextQuery();
            assertThat(Integer.parseInt(query.text().replaceAll(".*,d=(\\d+),.*", "$1")))
                    .as(fixture::log)
                    .isLessThanOrEqualTo(8700);
            query.sendRow(new byte[] {7});
            assertThat(client.readResponse()).isEqualTo(ROW_7);
        }
    }

    @Test
    void theFirstQueryMayFollowTheStartupMessageAtOnceAndQueriesAreAnsweredInOrder() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start()) {
            TestClient client = new TestClient(fixture.gateway.port());
            client.write(MessageWriter.query("")
                    .appendBuffer(Buffer.buffer())); // closed, since no startup message was sent before
            assertThat(client.readResponse()).startsWith("08P01");
            client = new TestClient(fixture.gateway.port());
            client.write(MessageWriter.startup()
                    .appendBuffer(MessageWriter.query(fixture.queryText("order")))
                    .appendBuffer(MessageWriter.query(fixture.queryText("order")))
                    .appendBuffer(MessageWriter.query(" ;")));
            assertThat(client.readResponse()).isEqualTo("ready");
            ReceivedQuery one = fixture.servers.get("p").nextQuery();
            ReceivedQuery other = fixture.servers.get("p").nextQuery();
            boolean first = one.text().contains("id=1,");
            (first ? other : one).sendRow(new byte[] {7});
            (first ? one : other).sendRow(new byte[] {1});
            assertThat(client.readResponse()).as(fixture::log).isEqualTo("row 01 ready");
            assertThat(client.readResponse()).isEqualTo(ROW_7);
            assertThat(client.readResponse()).isEqualTo("empty ready");
        }
    }

    @Test
    void aReadWithoutAnAvailableServerIsRejectedWithARetryTime() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p")) {
            fixture.servers.get("p").close();
            fixture.start().awaitLog("server p silent");
            assertThat(fixture.connect()
                            .sendQuery(fixture.queryText("quick", 900))
                            .readResponse())
                    .matches("53300 after \\d+ ready");
        }
    }

    @Test
    void aWriteRejectedAsReadOnlyIsRetriedAtThePrimary() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("r1", "p").start()) {
            fixture.awaitLog("primary p");
            TestClient client = fixture.connect().sendQuery(fixture.queryText("order"));
            fixture.servers.get("p").nextQuery().sendError("25006");
            assertThat(fixture.servers.get("p").nextQuery().text()).contains("id=1,");
            assertThat(fixture.servers.get("r1").pendingQueries).isEmpty();
            client.close();
        }
    }

    @Test
    void aNonRetryableRequestFailsWithoutRetryWhenItsConnectionBreaksAfterTheLastByte() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start()) {
            TestClient client = fixture.connect().sendQuery(fixture.queryText("order"));
            fixture.servers.get("p").nextQuery().resetConnection();
            assertThat(client.readResponse()).isEqualTo("58000 ready");
            client.sendQuery(fixture.queryText("order"));
            ReceivedQuery second = fixture.servers.get("p").nextQuery();
            assertThat(second.text()).contains("id=2,");
            second.sendRow(new byte[] {2});
            assertThat(client.readResponse()).isEqualTo("row 02 ready");
            assertThat(fixture.servers.get("p").pendingQueries).isEmpty();
        }
    }

    @Test
    void aRequestRejectedByAFullServerIsNotRetriedOnTheConnectionThatTheServerCloses() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start()) {
            TestClient client = fixture.connect().sendQuery(fixture.queryText("order"));
            ReceivedQuery full = fixture.servers.get("p").nextQuery();
            full.sendError("53300");
            full.socket().close(); // as servers with too many connections do
            ReceivedQuery again = fixture.servers.get("p").nextQuery();
            assertThat(again.text()).contains("id=1,");
            assertThat(again.socket()).isNotSameAs(full.socket());
            again.sendRow(new byte[] {7});
            assertThat(client.readResponse()).isEqualTo(ROW_7);
        }
    }

    @Test
    void aNonRetryableRequestIsRetriedWhenItsConnectionCouldNotBeOpened() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer primary = fixture.servers.get("p");
            TestClient first = fixture.connect().sendQuery(fixture.queryText("order"));
            ReceivedQuery inFlight = primary.nextQuery(); // occupies the connection opened for the health check
            primary.closesOnAccept = true;
            primary.acceptedConnections.clear();
            TestClient client = fixture.connect().sendQuery(fixture.queryText("order"));
            assertThat(primary.acceptedConnections.poll(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isNotNull();
            primary.closesOnAccept = false;
            inFlight.sendRow(new byte[] {1});
            assertThat(first.readResponse()).isEqualTo("row 01 ready");
            ReceivedQuery again = primary.nextQuery();
            assertThat(again.text()).contains("id=2,");
            again.sendRow(new byte[] {2});
            assertThat(client.readResponse()).isEqualTo("row 02 ready");
            assertThat(primary.pendingQueries).isEmpty();
        }
    }

    @Test
    void aConnectionThatJustAnsweredIsNotReusedWhileAnotherIsIdle() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer primary = fixture.servers.get("p");
            TestClient one = fixture.connect();
            TestClient other = fixture.connect();
            boolean reusedOlder = false;
            for (int i = 0;
                    i < 50 && !reusedOlder;
                    i++) { // repeated, since the interval is short and the machine may be slow
                one.sendQuery(fixture.queryText("order"));
                ReceivedQuery first = primary.nextQuery();
                other.sendQuery(fixture.queryText("order"));
                ReceivedQuery second = primary.nextQuery();
                first.sendRow(new byte[] {7});
                assertThat(one.readResponse()).isEqualTo(ROW_7);
                Thread.sleep(20);
                second.sendRow(new byte[] {7});
                assertThat(other.readResponse()).isEqualTo(ROW_7);
                one.sendQuery(fixture.queryText("order"));
                ReceivedQuery third = primary.nextQuery();
                reusedOlder = third.socket() == first.socket();
                third.sendRow(new byte[] {7});
                assertThat(one.readResponse()).isEqualTo(ROW_7);
            }
            assertThat(reusedOlder).isTrue();
        }
    }

    @Test
    void connectionsIdleForAsLongAsEarlierOnesThatWereResetAreNotReused() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start().answerReads()) {
            FakeDatabaseServer primary = fixture.servers.get("p");
            primary.idleResetAfterMs = 60;
            TestClient client = fixture.connect();
            for (int i = 0; i < 20; i++) {
                assertThat(fixture.readWithRetries(client)).as(fixture::log).isEqualTo(ROW_7);
                Thread.sleep(130);
            }
            assertThat(primary.idleResets).isBetween(1, 12);
        }
    }

    @Test
    void cancellingAnAttemptClosesTheConnectionAndALateAnswerReachesNoOtherRequest() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start()) {
            TestClient client = fixture.connect().sendQuery(fixture.queryText("quick", 700));
            ReceivedQuery late = fixture.servers.get("p").nextQuery();
            assertThat(client.readResponse()).startsWith("53300");
            late.awaitClosedByGateway();
            try {
                late.sendRow("late".getBytes(UTF_8));
            } catch (java.io.IOException e) {
                assertThat(late.socket().isClosed() || e.getMessage() != null).isTrue();
            }
            client.sendQuery(fixture.queryText("page"));
            fixture.servers.get("p").nextQuery().sendRow(new byte[] {7});
            assertThat(client.readResponse()).isEqualTo(ROW_7);
        }
    }

    @Test
    void anUnsolicitedAnswerClosesTheConnectionAndReachesNoRequest() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start()) {
            TestClient client = fixture.connect().sendQuery(fixture.queryText("page"));
            ReceivedQuery query = fixture.servers.get("p").nextQuery();
            query.sendRow(new byte[] {7});
            assertThat(client.readResponse()).isEqualTo(ROW_7);
            query.sendRow("unasked".getBytes(UTF_8));
            query.awaitClosedByGateway();
            client.sendQuery(fixture.queryText("page"));
            fixture.servers.get("p").nextQuery().sendRow(new byte[] {7});
            assertThat(client.readResponse()).isEqualTo(ROW_7);
            fixture.awaitLog("server out of order");
        }
    }

    @Test
    void aDuplicateAnswerReachesNoRequestThatWaitsForTheConnection() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer primary = fixture.servers.get("p");
            TestClient first = fixture.connect().sendQuery(fixture.queryText("order"));
            ReceivedQuery query = primary.nextQuery();
            primary.unresponsive = true;
            primary.acceptedConnections.clear();
            TestClient second = fixture.connect().sendQuery(fixture.queryText("order"));
            assertThat(primary.acceptedConnections.poll(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isNotNull();
            query.sendRow(new byte[] {7}, query.resultMessages(new byte[] {7})); // a duplicate in the same write
            assertThat(first.readResponse()).isEqualTo(ROW_7);
            query.awaitClosedByGateway();
            primary.unresponsive = false;
            ReceivedQuery retried = primary.nextQuery();
            assertThat(retried.text()).contains("id=2,");
            retried.sendRow(new byte[] {9}, bytes('?', 1 << 30)); // unexpected bytes that are no complete message
            assertThat(second.readResponse()).as(fixture::log).isEqualTo("row 09 ready");
            retried.awaitClosedByGateway();
        }
    }

    @Test
    void aCorruptAnswerCountsAsNoAnswerWhateverItBeginsWith() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start()) {
            TestClient client = fixture.connect();
            Buffer corrupt = Buffer.buffer()
                    .appendBuffer(MessageWriter.resultRow(new ResultRow(
                            new ServerMessage.RowDescription("val", 0, (short) 0, 17, (short) -1, -1, (short) 1),
                            new byte[] {1, 2, 3},
                            "SELECT 1")));
            int valueLength = 1 + corrupt.getInt(1) + 7;
            corrupt.setInt(valueLength, 2); // states a length shorter than the value
            Buffer full = MessageWriter.errorResponse("53300", "full", null, false, false);
            for (Buffer b : List.of(
                    corrupt,
                    full.copy().appendBuffer(bytes('?', 9)),
                    full.copy().appendBuffer(corrupt))) {
                client.sendQuery(fixture.queryText("order"));
                ReceivedQuery query = fixture.servers.get("p").nextQuery();
                FakeDatabaseServer.write(query.socket(), b, false);
                assertThat(client.readResponse())
                        .isEqualTo("58000 ready"); // it may have run: neither reported as succeeded nor retried
                query.awaitClosedByGateway();
                assertThat(fixture.servers.get("p").pendingQueries).isEmpty();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"x0=99999999999.000,x1=0,busy=0.1", "x0=NOW,x1=0,busy=\u0007", "x0=NOW,x1=7,busy=0", "x0=NOW,=,"
            })
    void aCorruptLoadReportIsIgnored(String loadReport) throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1")) {
            fixture.servers.get("p").loadReportOverride =
                    "x0=0.000,x1=0,busy=0"; // no valid report, but the list names it the primary
            fixture.discovery.completeList =
                    fixture.discovery.completeList.replaceFirst("\"cell\"", "\"rank\":\"source\",\"cell\"");
            fixture.servers.get("r1").loadReportOverride =
                    loadReport.replace("NOW", Long.toString(System.currentTimeMillis() / 1000));
            fixture.answerReads().start();
            fixture.servers.get("r1").answersReads = false;
            TestClient client = fixture.connect();
            for (int i = 0; i < 5; i++) {
                assertThat(fixture.readWithRetries(client)).as(fixture::log).isEqualTo(ROW_7);
            }
            assertThat(fixture.servers.get("r1").pendingQueries)
                    .isEmpty(); // its log position is unknown, so its data may be too old
            assertThat(fixture.log()).doesNotContain("primary no longer");
        }
    }

    @Test
    void aRequestWithATruncatedOrOversizedAnswerFailsAsPossiblyRun() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start()) {
            TestClient client = fixture.connect();
            for (Buffer b :
                    List.of(bytes('T', 9).appendShort((short) 1), bytes('D', 1 << 30), bytes('?', 4), bytes('E', 3))) {
                client.sendQuery(fixture.queryText("order"));
                ReceivedQuery query = fixture.servers.get("p").nextQuery();
                FakeDatabaseServer.write(query.socket(), b, false);
                if (b.getByte(0) == 'T') {
                    query.socket().close();
                }
                assertThat(client.readResponse()).isEqualTo("58000 ready");
                query.awaitClosedByGateway();
            }
        }
    }

    @Test
    void theAttemptOfADisconnectedClientIsCancelled() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start()) {
            TestClient client = fixture.connect().sendQuery(fixture.queryText("page"));
            ReceivedQuery query = fixture.servers.get("p").nextQuery();
            client.close();
            query.awaitClosedByGateway();
        }
    }

    @Test
    void aServerThatDiscoveryReportsAsDrainingReceivesNoNewRequests() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1", "r2").start()) {
            fixture.answerReads().discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
            fixture.discovery.updates.add(fixture.endpointList(2, false, "r1:DRAINING"));
            fixture.awaitLog("server r1 listed DRAINING");
            FakeDatabaseServer r1 = fixture.servers.get("r1");
            r1.answersReads = false;
            TestClient client = fixture.connect();
            for (int i = 0; i < 30; i++) {
                assertThat(fixture.readWithRetries(client)).isEqualTo(ROW_7);
            }
            assertThat(r1.pendingQueries).isEmpty();
            fixture.discovery.awaitRequest("/registry/instances?from=2&hold_ms=2000");
        }
    }

    @Test
    void discoveryThatTalksNonsenseOrGoesBackIsAskedAgainAndChangesNothing() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start()) {
            fixture.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
            fixture.discovery.updates.add("{\"revision\":");
            fixture.awaitLog("discovery lost: list is not JSON");
            fixture.discovery.updates.add("status 500 Oops");
            fixture.discovery.updates.add("{\"complete\":true}");
            fixture.discovery.updates.add(fixture.endpointList(9, false, "p:SERVING"));
            fixture.discovery.awaitRequest("/registry/instances?from=9&hold_ms=2000");
            fixture.awaitLog("discovery back after");
            fixture.discovery.updates.add(fixture.endpointList(4, false));
            fixture.awaitLog("discovery went back from revision 9 to 4");
            fixture.discovery.awaitRequest("/registry/instances");
            TestClient client = fixture.connect().sendQuery(fixture.queryText("page"));
            fixture.servers.get("p").nextQuery().sendRow(new byte[] {7});
            assertThat(client.readResponse()).isEqualTo(ROW_7);
        }
    }

    @Test
    void aServerThatAcceptsConnectionsButNeverAnswersDelaysNoRequest() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1", "r2")) {
            fixture.servers.get("r1").unresponsive = true;
            fixture.answerReads().start();
            TestClient client = fixture.connect();
            for (int i = 0; i < 5; i++) {
                assertThat(fixture.readWithRetries(client)).isEqualTo(ROW_7);
            }
            fixture.awaitLog("server r1 silent: probes unanswered");
        }
    }

    @Test
    void idleConnectionsAreClosedBeforeTheServerWould() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start(256, 4000)) {
            TestClient client = fixture.connect().sendQuery(fixture.queryText("page"));
            ReceivedQuery query = fixture.servers.get("p").nextQuery();
            query.sendRow(new byte[] {7});
            assertThat(client.readResponse()).isEqualTo(ROW_7);
            long answered = System.nanoTime();
            query.awaitClosedByGateway();
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - answered))
                    .isBetween(1000L, 4000L);
        }
    }

    @Test
    void clientsBeyondTheDescriptorLimitAreRefusedAndTheOthersAreAnswered() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start(64, 30_000)) {
            FakeDatabaseServer primary = fixture.servers.get("p");
            List<TestClient> accepted = new ArrayList<>();
            List<ReceivedQuery> inFlight = new ArrayList<>();
            boolean refused = false;
            for (int i = 0; i < 64 && !refused; i++) {
                TestClient client = new TestClient(fixture.gateway.port());
                client.write(MessageWriter.startup());
                String startupResponse = client.readResponse();
                refused = startupResponse.equals("53300 closed");
                if (!refused) {
                    assertThat(startupResponse).isEqualTo("ready");
                    accepted.add(client.sendQuery(fixture.queryText("order")));
                    ReceivedQuery query = primary.pendingQueries.poll(
                            20, TimeUnit.MILLISECONDS); // forwarded, so its connection is no longer idle
                    if (query != null) {
                        inFlight.add(query);
                    }
                }
            }
            assertThat(refused).isTrue();
            assertThat(accepted).hasSizeBetween(16, 48);
            primary.answersWrites = true;
            for (ReceivedQuery query : inFlight) {
                query.sendRow(new byte[] {7});
            }
            for (TestClient client : accepted) {
                assertThat(client.readResponse()).isIn(ROW_7, "53300 ready", "53300 after 1000 ready");
            }
            fixture.awaitLog("no room for a connection");
            String startupResponse = "53300 closed";
            while (startupResponse.equals("53300 closed")) { // until answered clients have been idle for long enough
                TestClient client = new TestClient(fixture.gateway.port()).write(MessageWriter.startup());
                startupResponse = client.readResponse();
                if (startupResponse.equals("ready")) {
                    assertThat(client.sendQuery(fixture.queryText("order")).readResponse())
                            .isEqualTo(ROW_7);
                }
            }
            assertThat(startupResponse).isEqualTo("ready");
        }
    }

    @Test
    void requestsWithoutAFreeDescriptorWaitForOne() throws Exception {
        try (GatewayTestFixture fixture =
                new GatewayTestFixture("p", "r1").start(64, 30_000).answerReads()) { // 40 connections and 8 in reserve
            fixture.servers.values().forEach(x -> x.rowValue = new byte[60_000]);
            List<TestClient> clients = new ArrayList<>();
            for (int i = 0; i < 28; i++) {
                clients.add(new TestClient(fixture.gateway.port()).write(MessageWriter.startup()));
            }
            for (TestClient client : clients) {
                assertThat(client.readResponse()).isEqualTo("ready");
            }
            for (TestClient client : clients) {
                client.sendQuery(fixture.queryText("page"));
            }
            for (TestClient client : clients) {
                assertThat(client.readResponse()).as(fixture::log).startsWith("row ");
            }
        }
    }

    @Test
    void aGracefulShutdownServesOnAnswersAllRequestsAndCompletes() throws Exception {
        try (GatewayTestFixture fixture =
                new GatewayTestFixture("p", "r1").start().answerReads()) {
            TestClient idle = fixture.connect();
            TestClient held = fixture.connect().sendQuery(fixture.queryText("order"));
            ReceivedQuery query = fixture.servers.get("p").nextQuery();
            CountDownLatch ended = new CountDownLatch(1);
            fixture.gateway.runOnLoop(() -> fixture.gateway.shutdownGracefully(ended));
            fixture.awaitLog("planned restart: 2 connections, 1 ops in hand");
            TestClient later = fixture.connect();
            for (int i = 0; i < 10; i++) { // so that the gateway has learnt the latency of reads
                assertThat(fixture.readWithRetries(later)).isEqualTo(ROW_7);
            }
            Thread.sleep(1000); // other gateways may not be available to connected clients yet
            assertThat(fixture.readWithRetries(later)).isEqualTo(ROW_7);
            fixture.awaitLog("planned restart: idle connections end");
            TestClient last = new TestClient(fixture.gateway.port());
            last.write(MessageWriter.startup().appendBuffer(MessageWriter.query(fixture.queryText("page"))));
            assertThat(List.of(last.readResponse(), last.readResponse(), last.readResponse()))
                    .containsExactly("ready", ROW_7, "closed");
            assertThat(idle.readResponse()).isEqualTo("closed");
            assertThat(ended.getCount()).isEqualTo(1);
            query.sendRow(new byte[] {3});
            assertThat(held.readResponse()).isEqualTo("row 03 ready");
            assertThat(held.readResponse()).isEqualTo("closed");
            assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isTrue();
            fixture.awaitLog("0 ops unanswered");
        }
    }

    @Test
    void aRequestWhoseDeadlineExceedsAGracefulShutdownIsAnsweredBeforeItsEnd() throws Exception {
        try (GatewayTestFixture fixture =
                new GatewayTestFixture("p", "r1").start().answerReads()) {
            TestClient client = fixture.connect().sendQuery(fixture.queryText("order", 9000));
            fixture.servers.get("p").nextQuery(); // never answered
            CountDownLatch ended = new CountDownLatch(1);
            fixture.gateway.runOnLoop(() -> fixture.gateway.shutdownGracefully(ended));
            assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isTrue();
            assertThat(fixture.log())
                    .contains("0 ops unanswered")
                    .doesNotContain("1 ops unanswered"); // a process would exit now
            assertThat(client.readResponse()).startsWith("58000");
        }
    }

    @Test
    void sighupReloadsTheConfigurationAndAnInvalidOneChangesNothing() throws Exception {
        Path file = Files.createTempFile("gateway", ".json");
        Path log = Files.createTempFile("gateway", ".log");
        Process gateway = null;
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1").answerReads();
                FakeDiscovery elsewhere = new FakeDiscovery(fixture.endpointList(5, true, "p"))) {
            Files.writeString(file, GatewayTestFixture.configuration(fixture.discovery, 256, 30_000));
            gateway = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-cp",
                            System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                            "ploverdale.Main",
                            "serve",
                            "--config",
                            file.toString())
                    .redirectError(log.toFile())
                    .start();
            int port = Integer.parseInt(line(log, "listens at").replaceAll(".*:(\\d+), .*", "$1"));
            fixture.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
            TestClient client = new TestClient(port).completeStartup();
            assertThat(fixture.readWithRetries(client)).isEqualTo(ROW_7);

            Files.writeString(file, "{\"name\":");
            hangUp(gateway);
            line(log, "new configuration not taken");
            Files.writeString(file, GatewayTestFixture.configuration(elsewhere, 256, 30_000));
            hangUp(gateway);
            elsewhere.awaitRequest("/registry/instances");
            elsewhere.awaitRequest("/registry/instances?from=5&hold_ms=2000");
            line(log, "server r1 listed GONE");
            assertThat(fixture.readWithRetries(client)).isEqualTo(ROW_7);
            client.close();
            gateway.destroy();
            assertThat(gateway.waitFor(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .isTrue();
            assertThat(gateway.exitValue()).isZero();
        } finally {
            if (gateway != null) {
                gateway.destroyForcibly();
            }
            Files.delete(file);
            Files.delete(log);
        }
    }

    private static void hangUp(Process process) throws Exception {
        assertThat(new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor())
                .isZero();
    }

    /** Waits for a line of the log that contains this text, and returns it. */
    private static String line(Path log, String part) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.TIMEOUT_S);
        while (true) {
            for (String line : Files.readAllLines(log)) {
                if (line.contains(part)) {
                    return line;
                }
            }
            assertThat(System.nanoTime())
                    .as("the log has \"%s\":\n%s", part, Files.readString(log))
                    .isLessThan(end);
            Thread.sleep(20);
        }
    }

    @Test
    void invalidInputIsAnsweredWherePossibleAndAffectsNoOtherConnection() throws Exception {
        try (GatewayTestFixture fixture =
                new GatewayTestFixture("p", "r1").start().answerReads()) {
            TestClient good = fixture.connect();
            TestClient client = new TestClient(fixture.gateway.port());
            client.write(Buffer.buffer().appendInt(8).appendInt(80877103));
            assertThat(client.readByte()).isEqualTo('N');
            client.write(Buffer.buffer().appendInt(8).appendInt(80877104));
            assertThat(client.readByte()).isEqualTo('N');
            client.completeStartup();
            for (String text : List.of(
                    "SELECT 1",
                    "SELECT 1 /* id=a,c=nothing,t=north,d=5 */",
                    "SELECT 1 /* id=a,c=page,t=nobody,d=5 */",
                    "SELECT 1 /* id=a,c=page,t=north,d=-1 */")) {
                assertThat(client.sendQuery(text).readResponse()).matches("(42601|22023) ready");
            }
            client.write(bytes('P', 8).appendInt(0).appendBuffer(bytes('B', 4)).appendBuffer(bytes('S', 4)));
            assertThat(client.readResponse()).isEqualTo("0A000 ready");
            String request = fixture.queryText("order");
            client.sendQuery(request);
            ReceivedQuery query = fixture.servers.get("p").nextQuery();
            assertThat(good.sendQuery(request).readResponse()).isEqualTo("42710 ready");
            query.sendRow(new byte[] {7});
            assertThat(client.readResponse()).isEqualTo(ROW_7);
            for (Buffer b : List.of(bytes('?', 4), bytes('Q', 3), bytes('Q', 1 << 30))) {
                assertThat(fixture.connect().write(b).readResponse()).isEqualTo("08P01 closed");
            }
            assertThat(new TestClient(fixture.gateway.port())
                            .write(Buffer.buffer().appendInt(8).appendInt(2 << 16))
                            .readResponse())
                    .isEqualTo("0A000 closed");
            assertThat(new TestClient(fixture.gateway.port())
                            .write(Buffer.buffer()
                                    .appendInt(16)
                                    .appendInt(80877102)
                                    .appendLong(0))
                            .readResponse())
                    .isEqualTo("closed");
            assertThat(fixture.readWithRetries(good)).isEqualTo(ROW_7);
        }
    }

    @Test
    void aClientThatDoesNotReadIsThrottledAndClosedWithoutEffectOnOthers() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1")) {
            fixture.configurationEdit = configuration -> configuration.replace(
                    "\"deadlineMs\":20000",
                    "\"deadlineMs\":4000"); // no request outlasts the client's 5 s write timeout
            fixture.start();
            fixture.answerReads().servers.values().forEach(server -> server.rowValue = new byte[60_000]);
            TestClient notReading = fixture.connect();
            Thread sender = new Thread(() -> {
                try {
                    for (int i = 0; i < 1000; i++) {
                        notReading.sendQuery(fixture.queryText("page")); // more responses than all buffers can hold
                    }
                } catch (java.io.IOException e) {
                    return; // closed by the gateway, as expected
                }
            });
            sender.start();
            fixture.awaitLog("client that does not read");
            sender.join(TimeUnit.SECONDS.toMillis(GatewayTestFixture.TIMEOUT_S));
            assertThat(sender.isAlive()).isFalse();
            fixture.servers.values().forEach(server -> server.rowValue = new byte[] {7});
            assertThat(fixture.readWithRetries(fixture.connect())).isEqualTo(ROW_7);
        }
    }

    @Test
    void aConnectionWithAnIncompleteMessageIsClosedAfterItsEarlierRequestIsAnswered() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1").start()) {
            TestClient silent = new TestClient(fixture.gateway.port());
            TestClient halfStartup =
                    new TestClient(fixture.gateway.port()).write(Buffer.buffer().appendInt(40));
            TestClient halfQuery = fixture.connect().write(bytes('Q', 50));
            TestClient withRequest =
                    fixture.connect().sendQuery(fixture.queryText("order")).write(bytes('Q', 50));
            ReceivedQuery query = fixture.servers.get("p").nextQuery();
            for (TestClient client : List.of(silent, halfStartup, halfQuery)) {
                assertThat(client.readResponse()).isEqualTo("08P01 closed");
            }
            fixture.awaitLog("client with an unfinished message");
            query.sendRow(new byte[] {7});
            assertThat(List.of(withRequest.readResponse(), withRequest.readResponse()))
                    .containsExactly(ROW_7, "08P01 closed");
        }
    }

    @Test
    void idleClientsAreEvictedSoonerWhenClientConnectionsAreScarce() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1")
                .start(64, 30_000)
                .answerReads()) { // 28 client connections; above 12 idle ones are evicted soon
            List<TestClient> clients = new ArrayList<>();
            for (int i = 0; i < 15; i++) {
                clients.add(fixture.connect());
            }
            long since = System.nanoTime();
            for (TestClient client : clients.subList(0, 3)) {
                assertThat(client.readResponse()).isEqualTo("closed");
            }
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since))
                    .isLessThan(1900); // idle clients are otherwise closed after 2.1 s
            assertThat(fixture.readWithRetries(clients.get(14))).isEqualTo(ROW_7);
        }
    }

    @Test
    void clientsWithIncompleteMessagesAreClosedWhenMemoryIsScarceAndOthersAreServed() throws Exception {
        try (GatewayTestFixture fixture =
                new GatewayTestFixture("p", "r1").start().answerReads()) {
            for (int i = 0; i < 140; i++) {
                fixture.connect().write(bytes('Q', 130_000).appendBytes(new byte[125_000]));
            }
            fixture.awaitLog("too much unfinished");
            assertThat(fixture.readWithRetries(fixture.connect())).isEqualTo(ROW_7);
        }
    }
}
