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

/** Stories of a real gateway between stand-ins on loopback. */
@Timeout(120)
class GatewayTest {
    private static final String ROW_7 = "row 07 ready";

    private static Buffer bytes(char type, int length) {
        return Buffer.buffer().appendByte((byte) type).appendInt(length);
    }

    @Test
    void aValueIsPassedOnByteForByteAndTheWaitIsStatedToTheServer() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            byte[] value = new byte[64 * 1024];
            for (int i = 0; i < value.length; i++) {
                value[i] = (byte) i;
            }
            TestClient c = net.connect().sendQuery(net.queryText("order", 9000));
            ReceivedQuery g = net.servers.get("p").nextQuery();
            assertThat(g.text())
                    .startsWith("INSERT INTO state (uid, val) VALUES ('k', '\\x01') RETURNING val /* id=1,");
            String wait = g.text().replaceAll(".*,d=(\\d+),.*", "$1");
            assertThat(Integer.parseInt(wait)).isBetween(1, 9000);
            g.sendRow(value);
            assertThat(c.readResponse()).isEqualTo("row " + java.util.HexFormat.of().formatHex(value) + " ready");
        }
    }

    @Test
    void theFirstClientIsLetInOnceTheFirstProbesHaveEnded() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").start()) {
            for (FakeDatabaseServer s : net.servers.values()) {
                assertThat(s.healthChecks).as(net::log).isPositive();
                assertThat(s.pendingQueries).isEmpty(); // no made-up op of the practice reaches a server
            }
            assertThat(net.log()
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
    void theTimeOfAnOpThatCameBeforeServiceBeganIsCountedFromItsComing() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            FakeDatabaseServer p = net.servers.get("p");
            p.healthCheckGate = new CountDownLatch(1);
            TestClient c = net.connectDuringStartup(net.queryText("order", 9000));
            long came = System.nanoTime();
            while (System.nanoTime() - came < TimeUnit.MILLISECONDS.toNanos(300)) {
                Thread.onSpinWait(); // service cannot begin before its first probe has ended
            }
            p.healthCheckGate.countDown();
            ReceivedQuery g = p.nextQuery();
            assertThat(Integer.parseInt(g.text().replaceAll(".*,d=(\\d+),.*", "$1")))
                    .as(net::log)
                    .isLessThanOrEqualTo(8700);
            g.sendRow(new byte[] {7});
            assertThat(c.readResponse()).isEqualTo(ROW_7);
        }
    }

    @Test
    void theFirstQueryMayComeRightBehindTheGreetingAndQueriesAreAnsweredInTheirOrder() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient c = new TestClient(net.gateway.port());
            c.write(MessageWriter.query("").appendBuffer(Buffer.buffer())); // ends: no greeting yet
            assertThat(c.readResponse()).startsWith("08P01");
            c = new TestClient(net.gateway.port());
            c.write(MessageWriter.startup()
                    .appendBuffer(MessageWriter.query(net.queryText("order")))
                    .appendBuffer(MessageWriter.query(net.queryText("order")))
                    .appendBuffer(MessageWriter.query(" ;")));
            assertThat(c.readResponse()).isEqualTo("ready");
            ReceivedQuery one = net.servers.get("p").nextQuery();
            ReceivedQuery other = net.servers.get("p").nextQuery();
            boolean first = one.text().contains("id=1,");
            (first ? other : one).sendRow(new byte[] {7});
            (first ? one : other).sendRow(new byte[] {1});
            assertThat(c.readResponse()).as(net::log).isEqualTo("row 01 ready");
            assertThat(c.readResponse()).isEqualTo(ROW_7);
            assertThat(c.readResponse()).isEqualTo("empty ready");
        }
    }

    @Test
    void aReadWithNobodyToAnswerItIsBusyRepliedWithATimeToComeBack() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            net.servers.get("p").close();
            net.start().awaitLog("server p silent");
            assertThat(net.connect().sendQuery(net.queryText("quick", 900)).readResponse()).matches("53300 after \\d+ ready");
        }
    }

    @Test
    void aWriteTurnedAwayByAReplicaGoesToThePrimary() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("r1", "p").start()) {
            net.awaitLog("primary p");
            TestClient c = net.connect().sendQuery(net.queryText("order"));
            net.servers.get("p").nextQuery().sendError("25006");
            assertThat(net.servers.get("p").nextQuery().text()).contains("id=1,");
            assertThat(net.servers.get("r1").pendingQueries).isEmpty();
            c.close();
        }
    }

    @Test
    void aNonRetryableOpWhoseConnectionBreaksAfterTheLastByteIsWrittenOnceAndErrored() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient c = net.connect().sendQuery(net.queryText("order"));
            net.servers.get("p").nextQuery().resetConnection();
            assertThat(c.readResponse()).isEqualTo("58000 ready");
            c.sendQuery(net.queryText("order"));
            ReceivedQuery second = net.servers.get("p").nextQuery();
            assertThat(second.text()).contains("id=2,");
            second.sendRow(new byte[] {2});
            assertThat(c.readResponse()).isEqualTo("row 02 ready");
            assertThat(net.servers.get("p").pendingQueries).isEmpty();
        }
    }

    @Test
    void anOpThatFoundAServerFullIsNotWrittenToTheConnectionThatItCloses() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient c = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery full = net.servers.get("p").nextQuery();
            full.sendError("53300");
            full.socket().close(); // as servers do that have too many of them
            ReceivedQuery again = net.servers.get("p").nextQuery();
            assertThat(again.text()).contains("id=1,");
            assertThat(again.socket()).isNotSameAs(full.socket());
            again.sendRow(new byte[] {7});
            assertThat(c.readResponse()).isEqualTo(ROW_7);
        }
    }

    @Test
    void aNonRetryableOpWhoseConnectionNeverComesUpHasNotRunAndGoesAgain() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer p = net.servers.get("p");
            TestClient first = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery out = p.nextQuery(); // keeps the connection that the probe opened
            p.closesOnAccept = true;
            p.acceptedConnections.clear();
            TestClient c = net.connect().sendQuery(net.queryText("order"));
            assertThat(p.acceptedConnections.poll(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS)).isNotNull();
            p.closesOnAccept = false;
            out.sendRow(new byte[] {1});
            assertThat(first.readResponse()).isEqualTo("row 01 ready");
            ReceivedQuery again = p.nextQuery();
            assertThat(again.text()).contains("id=2,");
            again.sendRow(new byte[] {2});
            assertThat(c.readResponse()).isEqualTo("row 02 ready");
            assertThat(p.pendingQueries).isEmpty();
        }
    }

    @Test
    void aConnectionThatAnsweredJustNowRestsWhileAnotherIsFree() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer p = net.servers.get("p");
            TestClient one = net.connect();
            TestClient other = net.connect();
            boolean rested = false;
            for (int i = 0; i < 50 && !rested; i++) { // often, since the moment is short and this machine may be slow
                one.sendQuery(net.queryText("order"));
                ReceivedQuery first = p.nextQuery();
                other.sendQuery(net.queryText("order"));
                ReceivedQuery second = p.nextQuery();
                first.sendRow(new byte[] {7});
                assertThat(one.readResponse()).isEqualTo(ROW_7);
                Thread.sleep(20);
                second.sendRow(new byte[] {7});
                assertThat(other.readResponse()).isEqualTo(ROW_7);
                one.sendQuery(net.queryText("order"));
                ReceivedQuery third = p.nextQuery();
                rested = third.socket() == first.socket();
                third.sendRow(new byte[] {7});
                assertThat(one.readResponse()).isEqualTo(ROW_7);
            }
            assertThat(rested).isTrue();
        }
    }

    @Test
    void connectionsIdleForAsLongAsManyThatWereLostAreNotUsedAgain() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start().answerReads()) {
            FakeDatabaseServer p = net.servers.get("p");
            p.idleResetAfterMs = 60;
            TestClient c = net.connect();
            for (int i = 0; i < 20; i++) {
                assertThat(net.readWithRetries(c)).as(net::log).isEqualTo(ROW_7);
                Thread.sleep(130);
            }
            assertThat(p.idleResets).isBetween(1, 12);
        }
    }

    @Test
    void givingUpClosesTheConnectionAndALateAnswerReachesNoOtherOp() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient c = net.connect().sendQuery(net.queryText("quick", 700));
            ReceivedQuery late = net.servers.get("p").nextQuery();
            assertThat(c.readResponse()).startsWith("53300");
            late.awaitClosedByGateway();
            try {
                late.sendRow("late".getBytes(UTF_8));
            } catch (java.io.IOException e) {
                assertThat(late.socket().isClosed() || e.getMessage() != null).isTrue();
            }
            c.sendQuery(net.queryText("page"));
            net.servers.get("p").nextQuery().sendRow(new byte[] {7});
            assertThat(c.readResponse()).isEqualTo(ROW_7);
        }
    }

    @Test
    void anAnswerThatNobodyAskedForEndsTheConnectionAndReachesNoOp() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient c = net.connect().sendQuery(net.queryText("page"));
            ReceivedQuery g = net.servers.get("p").nextQuery();
            g.sendRow(new byte[] {7});
            assertThat(c.readResponse()).isEqualTo(ROW_7);
            g.sendRow("unasked".getBytes(UTF_8));
            g.awaitClosedByGateway();
            c.sendQuery(net.queryText("page"));
            net.servers.get("p").nextQuery().sendRow(new byte[] {7});
            assertThat(c.readResponse()).isEqualTo(ROW_7);
            net.awaitLog("server out of order");
        }
    }

    @Test
    void aSurplusAnswerReachesNoOpThatWaitsForTheConnection() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer p = net.servers.get("p");
            TestClient first = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery g = p.nextQuery();
            p.unresponsive = true;
            p.acceptedConnections.clear();
            TestClient second = net.connect().sendQuery(net.queryText("order"));
            assertThat(p.acceptedConnections.poll(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS)).isNotNull();
            g.sendRow(new byte[] {7}, g.resultMessages(new byte[] {7})); // a second copy in the same breath
            assertThat(first.readResponse()).isEqualTo(ROW_7);
            g.awaitClosedByGateway();
            p.unresponsive = false;
            ReceivedQuery own = p.nextQuery();
            assertThat(own.text()).contains("id=2,");
            own.sendRow(new byte[] {9}, bytes('?', 1 << 30)); // noise that is no whole message
            assertThat(second.readResponse()).as(net::log).isEqualTo("row 09 ready");
            own.awaitClosedByGateway();
        }
    }

    @Test
    void aSpoiltAnswerIsNoneWhateverItBeginsWith() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient c = net.connect();
            Buffer cut = Buffer.buffer()
                    .appendBuffer(MessageWriter.resultRow(new ResultRow(
                            new ServerMessage.RowDescription("val", 0, (short) 0, 17, (short) -1, -1, (short) 1),
                            new byte[] {1, 2, 3},
                            "SELECT 1")));
            int value = 1 + cut.getInt(1) + 7;
            cut.setInt(value, 2); // says that the value is shorter than its message
            Buffer full = MessageWriter.errorResponse("53300", "full", null, false, false);
            for (Buffer b : List.of(
                    cut, full.copy().appendBuffer(bytes('?', 9)), full.copy().appendBuffer(cut))) {
                c.sendQuery(net.queryText("order"));
                ReceivedQuery g = net.servers.get("p").nextQuery();
                FakeDatabaseServer.write(g.socket(), b, false);
                assertThat(c.readResponse()).isEqualTo("58000 ready"); // it may have run: neither acked nor sent again
                g.awaitClosedByGateway();
                assertThat(net.servers.get("p").pendingQueries).isEmpty();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"x0=99999999999.000,x1=0,busy=0.1", "x0=NOW,x1=0,busy=\u0007", "x0=NOW,x1=7,busy=0", "x0=NOW,=,"
            })
    void aReportThatIsSpoiltIsNotBelieved(String vitals) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1")) {
            net.servers.get("p").loadReportOverride = "x0=0.000,x1=0,busy=0"; // has made none yet, and is the primary all the same
            net.discovery.completeList = net.discovery.completeList.replaceFirst("\"cell\"", "\"rank\":\"source\",\"cell\"");
            net.servers.get("r1").loadReportOverride = vitals.replace("NOW", Long.toString(System.currentTimeMillis() / 1000));
            net.answerReads().start();
            net.servers.get("r1").answersReads = false;
            TestClient c = net.connect();
            for (int i = 0; i < 5; i++) {
                assertThat(net.readWithRetries(c)).as(net::log).isEqualTo(ROW_7);
            }
            assertThat(net.servers.get("r1").pendingQueries).isEmpty(); // its position is unknown, so too old
            assertThat(net.log()).doesNotContain("primary no longer");
        }
    }

    @Test
    void anAnswerCutShortOrOversizedMayHaveRun() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient c = net.connect();
            for (Buffer b :
                    List.of(bytes('T', 9).appendShort((short) 1), bytes('D', 1 << 30), bytes('?', 4), bytes('E', 3))) {
                c.sendQuery(net.queryText("order"));
                ReceivedQuery g = net.servers.get("p").nextQuery();
                FakeDatabaseServer.write(g.socket(), b, false);
                if (b.getByte(0) == 'T') {
                    g.socket().close();
                }
                assertThat(c.readResponse()).isEqualTo("58000 ready");
                g.awaitClosedByGateway();
            }
        }
    }

    @Test
    void theSendOfAClientThatHasGoneIsGivenUp() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient c = net.connect().sendQuery(net.queryText("page"));
            ReceivedQuery g = net.servers.get("p").nextQuery();
            c.close();
            g.awaitClosedByGateway();
        }
    }

    @Test
    void aServerThatAWatchSaysIsDrainingGetsNothingNew() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").start()) {
            net.answerReads().discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
            net.discovery.updates.add(net.endpointList(2, false, "r1:DRAINING"));
            net.awaitLog("server r1 listed DRAINING");
            FakeDatabaseServer r1 = net.servers.get("r1");
            r1.answersReads = false;
            TestClient c = net.connect();
            for (int i = 0; i < 30; i++) {
                assertThat(net.readWithRetries(c)).isEqualTo(ROW_7);
            }
            assertThat(r1.pendingQueries).isEmpty();
            net.discovery.awaitRequest("/registry/instances?from=2&hold_ms=2000");
        }
    }

    @Test
    void discoveryThatTalksNonsenseOrGoesBackIsAskedAgainAndChangesNothing() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            net.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
            net.discovery.updates.add("{\"revision\":");
            net.awaitLog("discovery lost: list is not JSON");
            net.discovery.updates.add("status 500 Oops");
            net.discovery.updates.add("{\"complete\":true}");
            net.discovery.updates.add(net.endpointList(9, false, "p:SERVING"));
            net.discovery.awaitRequest("/registry/instances?from=9&hold_ms=2000");
            net.awaitLog("discovery back after");
            net.discovery.updates.add(net.endpointList(4, false));
            net.awaitLog("discovery went back from revision 9 to 4");
            net.discovery.awaitRequest("/registry/instances");
            TestClient c = net.connect().sendQuery(net.queryText("page"));
            net.servers.get("p").nextQuery().sendRow(new byte[] {7});
            assertThat(c.readResponse()).isEqualTo(ROW_7);
        }
    }

    @Test
    void aServerThatAcceptsAndStaysSilentHoldsNothingUp() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2")) {
            net.servers.get("r1").unresponsive = true;
            net.answerReads().start();
            TestClient c = net.connect();
            for (int i = 0; i < 5; i++) {
                assertThat(net.readWithRetries(c)).isEqualTo(ROW_7);
            }
            net.awaitLog("server r1 silent: probes unanswered");
        }
    }

    @Test
    void idleConnectionsAreClosedBeforeTheServerWould() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start(256, 4000)) {
            TestClient c = net.connect().sendQuery(net.queryText("page"));
            ReceivedQuery g = net.servers.get("p").nextQuery();
            g.sendRow(new byte[] {7});
            assertThat(c.readResponse()).isEqualTo(ROW_7);
            long answered = System.nanoTime();
            g.awaitClosedByGateway();
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - answered))
                    .isBetween(1000L, 4000L);
        }
    }

    @Test
    void overTheDescriptorBudgetClientsAreTurnedAwayAndThoseTakenAreAnswered() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start(64, 30_000)) {
            FakeDatabaseServer p = net.servers.get("p");
            List<TestClient> taken = new ArrayList<>();
            List<ReceivedQuery> out = new ArrayList<>();
            boolean away = false;
            for (int i = 0; i < 64 && !away; i++) {
                TestClient c = new TestClient(net.gateway.port());
                c.write(MessageWriter.startup());
                String greeting = c.readResponse();
                away = greeting.equals("53300 closed");
                if (!away) {
                    assertThat(greeting).isEqualTo("ready");
                    taken.add(c.sendQuery(net.queryText("order")));
                    ReceivedQuery g = p.pendingQueries.poll(20, TimeUnit.MILLISECONDS); // read by the gateway, so no longer idle there
                    if (g != null) {
                        out.add(g);
                    }
                }
            }
            assertThat(away).isTrue();
            assertThat(taken).hasSizeBetween(16, 48);
            p.answersWrites = true;
            for (ReceivedQuery g : out) {
                g.sendRow(new byte[] {7});
            }
            for (TestClient c : taken) {
                assertThat(c.readResponse()).isIn(ROW_7, "53300 ready", "53300 after 1000 ready");
            }
            net.awaitLog("no room for a connection");
            String greeting = "53300 closed";
            while (greeting.equals("53300 closed")) { // until those that were answered have been idle for a moment
                TestClient c = new TestClient(net.gateway.port()).write(MessageWriter.startup());
                greeting = c.readResponse();
                if (greeting.equals("ready")) {
                    assertThat(c.sendQuery(net.queryText("order")).readResponse()).isEqualTo(ROW_7);
                }
            }
            assertThat(greeting).isEqualTo("ready");
        }
    }

    @Test
    void opsThatFindNoDescriptorWaitAMomentForOne() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").start(64, 30_000).answerReads()) { // 40 connections, and 8 more that may cross
            net.servers.values().forEach(x -> x.rowValue = new byte[60_000]);
            List<TestClient> all = new ArrayList<>();
            for (int i = 0; i < 28; i++) {
                all.add(new TestClient(net.gateway.port()).write(MessageWriter.startup()));
            }
            for (TestClient c : all) {
                assertThat(c.readResponse()).isEqualTo("ready");
            }
            for (TestClient c : all) {
                c.sendQuery(net.queryText("page"));
            }
            for (TestClient c : all) {
                assertThat(c.readResponse()).as(net::log).startsWith("row ");
            }
        }
    }

    @Test
    void aPlannedRestartServesOnAnswersAllAndEnds() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").start().answerReads()) {
            TestClient idle = net.connect();
            TestClient held = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery g = net.servers.get("p").nextQuery();
            CountDownLatch ended = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            net.awaitLog("planned restart: 2 connections, 1 ops in hand");
            TestClient later = net.connect();
            for (int i = 0; i < 10; i++) { // how long a read takes is known by the time that little of it is left
                assertThat(net.readWithRetries(later)).isEqualTo(ROW_7);
            }
            Thread.sleep(1000); // nobody else may be there to serve those that are connected
            assertThat(net.readWithRetries(later)).isEqualTo(ROW_7);
            net.awaitLog("planned restart: idle connections end");
            TestClient last = new TestClient(net.gateway.port());
            last.write(MessageWriter.startup().appendBuffer(MessageWriter.query(net.queryText("page"))));
            assertThat(List.of(last.readResponse(), last.readResponse(), last.readResponse())).containsExactly("ready", ROW_7, "closed");
            assertThat(idle.readResponse()).isEqualTo("closed");
            assertThat(ended.getCount()).isEqualTo(1);
            g.sendRow(new byte[] {3});
            assertThat(held.readResponse()).isEqualTo("row 03 ready");
            assertThat(held.readResponse()).isEqualTo("closed");
            assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
            net.awaitLog("0 ops unanswered");
        }
    }

    @Test
    void anOpThatWaitsForLongerThanAPlannedRestartLastsIsAnsweredBeforeTheEnd() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").start().answerReads()) {
            TestClient patient = net.connect().sendQuery(net.queryText("order", 9000));
            net.servers.get("p").nextQuery(); // never answered
            CountDownLatch ended = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
            assertThat(net.log())
                    .contains("0 ops unanswered")
                    .doesNotContain("1 ops unanswered"); // here a process would exit
            assertThat(patient.readResponse()).startsWith("58000");
        }
    }

    @Test
    void aHangUpReadsTheConfigurationAgainAndABadOneChangesNothing() throws Exception {
        Path file = Files.createTempFile("gateway", ".json");
        Path log = Files.createTempFile("gateway", ".log");
        Process gateway = null;
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").answerReads();
                FakeDiscovery elsewhere = new FakeDiscovery(net.endpointList(5, true, "p"))) {
            Files.writeString(file, GatewayTestFixture.configuration(net.discovery, 256, 30_000));
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
            net.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
            TestClient c = new TestClient(port).completeStartup();
            assertThat(net.readWithRetries(c)).isEqualTo(ROW_7);

            Files.writeString(file, "{\"name\":");
            hangUp(gateway);
            line(log, "new configuration not taken");
            Files.writeString(file, GatewayTestFixture.configuration(elsewhere, 256, 30_000));
            hangUp(gateway);
            elsewhere.awaitRequest("/registry/instances");
            elsewhere.awaitRequest("/registry/instances?from=5&hold_ms=2000");
            line(log, "server r1 listed GONE");
            assertThat(net.readWithRetries(c)).isEqualTo(ROW_7);
            c.close();
            gateway.destroy();
            assertThat(gateway.waitFor(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
            assertThat(gateway.exitValue()).isZero();
        } finally {
            if (gateway != null) {
                gateway.destroyForcibly();
            }
            Files.delete(file);
            Files.delete(log);
        }
    }

    private static void hangUp(Process p) throws Exception {
        assertThat(new ProcessBuilder("kill", "-HUP", Long.toString(p.pid()))
                        .start()
                        .waitFor())
                .isZero();
    }

    /** Waits for a line of the log with this. */
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
    void badInputIsAnsweredWhereItCanBeAndEndsNoOtherConnection() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").start().answerReads()) {
            TestClient good = net.connect();
            TestClient c = new TestClient(net.gateway.port());
            c.write(Buffer.buffer().appendInt(8).appendInt(80877103));
            assertThat(c.readByte()).isEqualTo('N');
            c.write(Buffer.buffer().appendInt(8).appendInt(80877104));
            assertThat(c.readByte()).isEqualTo('N');
            c.completeStartup();
            for (String text : List.of(
                    "SELECT 1",
                    "SELECT 1 /* id=a,c=nothing,t=north,d=5 */",
                    "SELECT 1 /* id=a,c=page,t=nobody,d=5 */",
                    "SELECT 1 /* id=a,c=page,t=north,d=-1 */")) {
                assertThat(c.sendQuery(text).readResponse()).matches("(42601|22023) ready");
            }
            c.write(bytes('P', 8).appendInt(0).appendBuffer(bytes('B', 4)).appendBuffer(bytes('S', 4)));
            assertThat(c.readResponse()).isEqualTo("0A000 ready");
            String request = net.queryText("order");
            c.sendQuery(request);
            ReceivedQuery g = net.servers.get("p").nextQuery();
            assertThat(good.sendQuery(request).readResponse()).isEqualTo("42710 ready");
            g.sendRow(new byte[] {7});
            assertThat(c.readResponse()).isEqualTo(ROW_7);
            for (Buffer b : List.of(bytes('?', 4), bytes('Q', 3), bytes('Q', 1 << 30))) {
                assertThat(net.connect().write(b).readResponse()).isEqualTo("08P01 closed");
            }
            assertThat(new TestClient(net.gateway.port())
                            .write(Buffer.buffer().appendInt(8).appendInt(2 << 16))
                            .readResponse())
                    .isEqualTo("0A000 closed");
            assertThat(new TestClient(net.gateway.port())
                            .write(Buffer.buffer()
                                    .appendInt(16)
                                    .appendInt(80877102)
                                    .appendLong(0))
                            .readResponse())
                    .isEqualTo("closed");
            assertThat(net.readWithRetries(good)).isEqualTo(ROW_7);
        }
    }

    @Test
    void aClientThatDoesNotReadIsHeldBackAndClosedAndHarmsNoOther() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1")) {
            net.configurationEdit = told ->
                    told.replace("\"deadlineMs\":20000", "\"deadlineMs\":4000"); // no op takes longer than its 5 s
            net.start();
            net.answerReads().servers.values().forEach(s -> s.rowValue = new byte[60_000]);
            TestClient deaf = net.connect();
            Thread asks = new Thread(() -> {
                try {
                    for (int i = 0; i < 1000; i++) {
                        deaf.sendQuery(net.queryText("page")); // more than all buffers on the way can take
                    }
                } catch (java.io.IOException e) {
                    return; // closed, as it should be
                }
            });
            asks.start();
            net.awaitLog("client that does not read");
            asks.join(TimeUnit.SECONDS.toMillis(GatewayTestFixture.TIMEOUT_S));
            assertThat(asks.isAlive()).isFalse();
            net.servers.values().forEach(s -> s.rowValue = new byte[] {7});
            assertThat(net.readWithRetries(net.connect())).isEqualTo(ROW_7);
        }
    }

    @Test
    void whatAClientBeginsAndDoesNotEndIsEndedAndAnOpTakenBeforeItIsAnswered() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").start()) {
            TestClient silent = new TestClient(net.gateway.port());
            TestClient half = new TestClient(net.gateway.port()).write(Buffer.buffer().appendInt(40));
            TestClient lateHalf = net.connect().write(bytes('Q', 50));
            TestClient taken = net.connect().sendQuery(net.queryText("order")).write(bytes('Q', 50));
            ReceivedQuery g = net.servers.get("p").nextQuery();
            for (TestClient c : List.of(silent, half, lateHalf)) {
                assertThat(c.readResponse()).isEqualTo("08P01 closed");
            }
            net.awaitLog("client with an unfinished message");
            g.sendRow(new byte[] {7});
            assertThat(List.of(taken.readResponse(), taken.readResponse())).containsExactly(ROW_7, "08P01 closed");
        }
    }

    @Test
    void whereClientsHoldAboutAllTheyMayThoseThatDoNothingMakeWaySoon() throws Exception {
        try (GatewayTestFixture net =
                new GatewayTestFixture("p", "r1").start(64, 30_000).answerReads()) { // 28 for clients, 12 before idle ones end soon
            List<TestClient> all = new ArrayList<>();
            for (int i = 0; i < 15; i++) {
                all.add(net.connect());
            }
            long since = System.nanoTime();
            for (TestClient c : all.subList(0, 3)) {
                assertThat(c.readResponse()).isEqualTo("closed");
            }
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since))
                    .isLessThan(1900); // not the usual 2.1 s
            assertThat(net.readWithRetries(all.get(14))).isEqualTo(ROW_7);
        }
    }

    @Test
    void messagesThatAreBegunAndNotEndedCostTheirClientsTheConnectionsAndOthersAreServed() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").start().answerReads()) {
            for (int i = 0; i < 140; i++) {
                net.connect().write(bytes('Q', 130_000).appendBytes(new byte[125_000]));
            }
            net.awaitLog("too much unfinished");
            assertThat(net.readWithRetries(net.connect())).isEqualTo(ROW_7);
        }
    }
}
