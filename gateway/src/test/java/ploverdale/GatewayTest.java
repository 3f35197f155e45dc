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
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            byte[] value = new byte[64 * 1024];
            for (int i = 0; i < value.length; i++) {
                value[i] = (byte) i;
            }
            TestClient c = net.client().ask(net.request("order", 9000));
            ReceivedQuery g = net.servers.get("p").next();
            assertThat(g.text())
                    .startsWith("INSERT INTO state (uid, val) VALUES ('k', '\\x01') RETURNING val /* id=1,");
            String wait = g.text().replaceAll(".*,d=(\\d+),.*", "$1");
            assertThat(Integer.parseInt(wait)).isBetween(1, 9000);
            g.row(value);
            assertThat(c.answer()).isEqualTo("row " + java.util.HexFormat.of().formatHex(value) + " ready");
        }
    }

    @Test
    void theFirstClientIsLetInOnceTheFirstProbesHaveEnded() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").started()) {
            for (FakeDatabaseServer s : net.servers.values()) {
                assertThat(s.probed).as(net::log).isPositive();
                assertThat(s.got).isEmpty(); // no made-up op of the practice reaches a server
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
            p.holdsProbes = new CountDownLatch(1);
            TestClient c = net.early(net.request("order", 9000));
            long came = System.nanoTime();
            while (System.nanoTime() - came < TimeUnit.MILLISECONDS.toNanos(300)) {
                Thread.onSpinWait(); // service cannot begin before its first probe has ended
            }
            p.holdsProbes.countDown();
            ReceivedQuery g = p.next();
            assertThat(Integer.parseInt(g.text().replaceAll(".*,d=(\\d+),.*", "$1")))
                    .as(net::log)
                    .isLessThanOrEqualTo(8700);
            g.row(new byte[] {7});
            assertThat(c.answer()).isEqualTo(ROW_7);
        }
    }

    @Test
    void theFirstQueryMayComeRightBehindTheGreetingAndQueriesAreAnsweredInTheirOrder() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            TestClient c = new TestClient(net.gateway.port());
            c.write(MessageWriter.query("").appendBuffer(Buffer.buffer())); // ends: no greeting yet
            assertThat(c.answer()).startsWith("08P01");
            c = new TestClient(net.gateway.port());
            c.write(MessageWriter.startup()
                    .appendBuffer(MessageWriter.query(net.request("order")))
                    .appendBuffer(MessageWriter.query(net.request("order")))
                    .appendBuffer(MessageWriter.query(" ;")));
            assertThat(c.answer()).isEqualTo("ready");
            ReceivedQuery one = net.servers.get("p").next();
            ReceivedQuery other = net.servers.get("p").next();
            boolean first = one.text().contains("id=1,");
            (first ? other : one).row(new byte[] {7});
            (first ? one : other).row(new byte[] {1});
            assertThat(c.answer()).as(net::log).isEqualTo("row 01 ready");
            assertThat(c.answer()).isEqualTo(ROW_7);
            assertThat(c.answer()).isEqualTo("empty ready");
        }
    }

    @Test
    void aReadWithNobodyToAnswerItIsBusyRepliedWithATimeToComeBack() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            net.servers.get("p").close();
            net.started().logged("server p silent");
            assertThat(net.client().ask(net.request("quick", 900)).answer()).matches("53300 after \\d+ ready");
        }
    }

    @Test
    void aWriteTurnedAwayByAReplicaGoesToThePrimary() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("r1", "p").started()) {
            net.logged("primary p");
            TestClient c = net.client().ask(net.request("order"));
            net.servers.get("p").next().problem("25006");
            assertThat(net.servers.get("p").next().text()).contains("id=1,");
            assertThat(net.servers.get("r1").got).isEmpty();
            c.close();
        }
    }

    @Test
    void aNonRetryableOpWhoseConnectionBreaksAfterTheLastByteIsWrittenOnceAndErrored() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            TestClient c = net.client().ask(net.request("order"));
            net.servers.get("p").next().reset();
            assertThat(c.answer()).isEqualTo("58000 ready");
            c.ask(net.request("order"));
            ReceivedQuery second = net.servers.get("p").next();
            assertThat(second.text()).contains("id=2,");
            second.row(new byte[] {2});
            assertThat(c.answer()).isEqualTo("row 02 ready");
            assertThat(net.servers.get("p").got).isEmpty();
        }
    }

    @Test
    void anOpThatFoundAServerFullIsNotWrittenToTheConnectionThatItCloses() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            TestClient c = net.client().ask(net.request("order"));
            ReceivedQuery full = net.servers.get("p").next();
            full.problem("53300");
            full.socket().close(); // as servers do that have too many of them
            ReceivedQuery again = net.servers.get("p").next();
            assertThat(again.text()).contains("id=1,");
            assertThat(again.socket()).isNotSameAs(full.socket());
            again.row(new byte[] {7});
            assertThat(c.answer()).isEqualTo(ROW_7);
        }
    }

    @Test
    void aNonRetryableOpWhoseConnectionNeverComesUpHasNotRunAndGoesAgain() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            FakeDatabaseServer p = net.servers.get("p");
            TestClient first = net.client().ask(net.request("order"));
            ReceivedQuery out = p.next(); // keeps the connection that the probe opened
            p.shut = true;
            p.connects.clear();
            TestClient c = net.client().ask(net.request("order"));
            assertThat(p.connects.poll(GatewayTestFixture.PATIENCE_S, TimeUnit.SECONDS)).isNotNull();
            p.shut = false;
            out.row(new byte[] {1});
            assertThat(first.answer()).isEqualTo("row 01 ready");
            ReceivedQuery again = p.next();
            assertThat(again.text()).contains("id=2,");
            again.row(new byte[] {2});
            assertThat(c.answer()).isEqualTo("row 02 ready");
            assertThat(p.got).isEmpty();
        }
    }

    @Test
    void aConnectionThatAnsweredJustNowRestsWhileAnotherIsFree() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            FakeDatabaseServer p = net.servers.get("p");
            TestClient one = net.client();
            TestClient other = net.client();
            boolean rested = false;
            for (int i = 0; i < 50 && !rested; i++) { // often, since the moment is short and this machine may be slow
                one.ask(net.request("order"));
                ReceivedQuery first = p.next();
                other.ask(net.request("order"));
                ReceivedQuery second = p.next();
                first.row(new byte[] {7});
                assertThat(one.answer()).isEqualTo(ROW_7);
                Thread.sleep(20);
                second.row(new byte[] {7});
                assertThat(other.answer()).isEqualTo(ROW_7);
                one.ask(net.request("order"));
                ReceivedQuery third = p.next();
                rested = third.socket() == first.socket();
                third.row(new byte[] {7});
                assertThat(one.answer()).isEqualTo(ROW_7);
            }
            assertThat(rested).isTrue();
        }
    }

    @Test
    void connectionsIdleForAsLongAsManyThatWereLostAreNotUsedAgain() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started().readable()) {
            FakeDatabaseServer p = net.servers.get("p");
            p.forgetsMs = 60;
            TestClient c = net.client();
            for (int i = 0; i < 20; i++) {
                assertThat(net.read(c)).as(net::log).isEqualTo(ROW_7);
                Thread.sleep(130);
            }
            assertThat(p.forgotten).isBetween(1, 12);
        }
    }

    @Test
    void givingUpClosesTheConnectionAndALateAnswerReachesNoOtherOp() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            TestClient c = net.client().ask(net.request("quick", 700));
            ReceivedQuery late = net.servers.get("p").next();
            assertThat(c.answer()).startsWith("53300");
            late.endedByGateway();
            try {
                late.row("late".getBytes(UTF_8));
            } catch (java.io.IOException e) {
                assertThat(late.socket().isClosed() || e.getMessage() != null).isTrue();
            }
            c.ask(net.request("page"));
            net.servers.get("p").next().row(new byte[] {7});
            assertThat(c.answer()).isEqualTo(ROW_7);
        }
    }

    @Test
    void anAnswerThatNobodyAskedForEndsTheConnectionAndReachesNoOp() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            TestClient c = net.client().ask(net.request("page"));
            ReceivedQuery g = net.servers.get("p").next();
            g.row(new byte[] {7});
            assertThat(c.answer()).isEqualTo(ROW_7);
            g.row("unasked".getBytes(UTF_8));
            g.endedByGateway();
            c.ask(net.request("page"));
            net.servers.get("p").next().row(new byte[] {7});
            assertThat(c.answer()).isEqualTo(ROW_7);
            net.logged("server out of order");
        }
    }

    @Test
    void aSurplusAnswerReachesNoOpThatWaitsForTheConnection() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            FakeDatabaseServer p = net.servers.get("p");
            TestClient first = net.client().ask(net.request("order"));
            ReceivedQuery g = p.next();
            p.mute = true;
            p.connects.clear();
            TestClient second = net.client().ask(net.request("order"));
            assertThat(p.connects.poll(GatewayTestFixture.PATIENCE_S, TimeUnit.SECONDS)).isNotNull();
            g.row(new byte[] {7}, g.answer(new byte[] {7})); // a second copy in the same breath
            assertThat(first.answer()).isEqualTo(ROW_7);
            g.endedByGateway();
            p.mute = false;
            ReceivedQuery own = p.next();
            assertThat(own.text()).contains("id=2,");
            own.row(new byte[] {9}, bytes('?', 1 << 30)); // noise that is no whole message
            assertThat(second.answer()).as(net::log).isEqualTo("row 09 ready");
            own.endedByGateway();
        }
    }

    @Test
    void aSpoiltAnswerIsNoneWhateverItBeginsWith() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            TestClient c = net.client();
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
                c.ask(net.request("order"));
                ReceivedQuery g = net.servers.get("p").next();
                FakeDatabaseServer.write(g.socket(), b, false);
                assertThat(c.answer()).isEqualTo("58000 ready"); // it may have run: neither acked nor sent again
                g.endedByGateway();
                assertThat(net.servers.get("p").got).isEmpty();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"x0=99999999999.000,x1=0,busy=0.1", "x0=NOW,x1=0,busy=\u0007", "x0=NOW,x1=7,busy=0", "x0=NOW,=,"
            })
    void aReportThatIsSpoiltIsNotBelieved(String vitals) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1")) {
            net.servers.get("p").vitals = "x0=0.000,x1=0,busy=0"; // has made none yet, and is the primary all the same
            net.registry.whole = net.registry.whole.replaceFirst("\"cell\"", "\"rank\":\"source\",\"cell\"");
            net.servers.get("r1").vitals = vitals.replace("NOW", Long.toString(System.currentTimeMillis() / 1000));
            net.readable().started();
            net.servers.get("r1").reads = false;
            TestClient c = net.client();
            for (int i = 0; i < 5; i++) {
                assertThat(net.read(c)).as(net::log).isEqualTo(ROW_7);
            }
            assertThat(net.servers.get("r1").got).isEmpty(); // its position is unknown, so too old
            assertThat(net.log()).doesNotContain("primary no longer");
        }
    }

    @Test
    void anAnswerCutShortOrOversizedMayHaveRun() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            TestClient c = net.client();
            for (Buffer b :
                    List.of(bytes('T', 9).appendShort((short) 1), bytes('D', 1 << 30), bytes('?', 4), bytes('E', 3))) {
                c.ask(net.request("order"));
                ReceivedQuery g = net.servers.get("p").next();
                FakeDatabaseServer.write(g.socket(), b, false);
                if (b.getByte(0) == 'T') {
                    g.socket().close();
                }
                assertThat(c.answer()).isEqualTo("58000 ready");
                g.endedByGateway();
            }
        }
    }

    @Test
    void theSendOfAClientThatHasGoneIsGivenUp() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            TestClient c = net.client().ask(net.request("page"));
            ReceivedQuery g = net.servers.get("p").next();
            c.close();
            g.endedByGateway();
        }
    }

    @Test
    void aServerThatAWatchSaysIsDrainingGetsNothingNew() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").started()) {
            net.readable().registry.asked("/registry/instances?from=1&hold_ms=2000");
            net.registry.news.add(net.list(2, false, "r1:DRAINING"));
            net.logged("server r1 listed DRAINING");
            FakeDatabaseServer r1 = net.servers.get("r1");
            r1.reads = false;
            TestClient c = net.client();
            for (int i = 0; i < 30; i++) {
                assertThat(net.read(c)).isEqualTo(ROW_7);
            }
            assertThat(r1.got).isEmpty();
            net.registry.asked("/registry/instances?from=2&hold_ms=2000");
        }
    }

    @Test
    void discoveryThatTalksNonsenseOrGoesBackIsAskedAgainAndChangesNothing() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started()) {
            net.registry.asked("/registry/instances?from=1&hold_ms=2000");
            net.registry.news.add("{\"revision\":");
            net.logged("discovery lost: list is not JSON");
            net.registry.news.add("status 500 Oops");
            net.registry.news.add("{\"complete\":true}");
            net.registry.news.add(net.list(9, false, "p:SERVING"));
            net.registry.asked("/registry/instances?from=9&hold_ms=2000");
            net.logged("discovery back after");
            net.registry.news.add(net.list(4, false));
            net.logged("discovery went back from revision 9 to 4");
            net.registry.asked("/registry/instances");
            TestClient c = net.client().ask(net.request("page"));
            net.servers.get("p").next().row(new byte[] {7});
            assertThat(c.answer()).isEqualTo(ROW_7);
        }
    }

    @Test
    void aServerThatAcceptsAndStaysSilentHoldsNothingUp() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2")) {
            net.servers.get("r1").mute = true;
            net.readable().started();
            TestClient c = net.client();
            for (int i = 0; i < 5; i++) {
                assertThat(net.read(c)).isEqualTo(ROW_7);
            }
            net.logged("server r1 silent: probes unanswered");
        }
    }

    @Test
    void idleConnectionsAreClosedBeforeTheServerWould() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started(256, 4000)) {
            TestClient c = net.client().ask(net.request("page"));
            ReceivedQuery g = net.servers.get("p").next();
            g.row(new byte[] {7});
            assertThat(c.answer()).isEqualTo(ROW_7);
            long answered = System.nanoTime();
            g.endedByGateway();
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - answered))
                    .isBetween(1000L, 4000L);
        }
    }

    @Test
    void overTheDescriptorBudgetClientsAreTurnedAwayAndThoseTakenAreAnswered() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").started(64, 30_000)) {
            FakeDatabaseServer p = net.servers.get("p");
            List<TestClient> taken = new ArrayList<>();
            List<ReceivedQuery> out = new ArrayList<>();
            boolean away = false;
            for (int i = 0; i < 64 && !away; i++) {
                TestClient c = new TestClient(net.gateway.port());
                c.write(MessageWriter.startup());
                String greeting = c.answer();
                away = greeting.equals("53300 closed");
                if (!away) {
                    assertThat(greeting).isEqualTo("ready");
                    taken.add(c.ask(net.request("order")));
                    ReceivedQuery g = p.got.poll(20, TimeUnit.MILLISECONDS); // read by the gateway, so no longer idle there
                    if (g != null) {
                        out.add(g);
                    }
                }
            }
            assertThat(away).isTrue();
            assertThat(taken).hasSizeBetween(16, 48);
            p.writes = true;
            for (ReceivedQuery g : out) {
                g.row(new byte[] {7});
            }
            for (TestClient c : taken) {
                assertThat(c.answer()).isIn(ROW_7, "53300 ready", "53300 after 1000 ready");
            }
            net.logged("no room for a connection");
            String greeting = "53300 closed";
            while (greeting.equals("53300 closed")) { // until those that were answered have been idle for a moment
                TestClient c = new TestClient(net.gateway.port()).write(MessageWriter.startup());
                greeting = c.answer();
                if (greeting.equals("ready")) {
                    assertThat(c.ask(net.request("order")).answer()).isEqualTo(ROW_7);
                }
            }
            assertThat(greeting).isEqualTo("ready");
        }
    }

    @Test
    void opsThatFindNoDescriptorWaitAMomentForOne() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").started(64, 30_000).readable()) { // 40 connections, and 8 more that may cross
            net.servers.values().forEach(x -> x.value = new byte[60_000]);
            List<TestClient> all = new ArrayList<>();
            for (int i = 0; i < 28; i++) {
                all.add(new TestClient(net.gateway.port()).write(MessageWriter.startup()));
            }
            for (TestClient c : all) {
                assertThat(c.answer()).isEqualTo("ready");
            }
            for (TestClient c : all) {
                c.ask(net.request("page"));
            }
            for (TestClient c : all) {
                assertThat(c.answer()).as(net::log).startsWith("row ");
            }
        }
    }

    @Test
    void aPlannedRestartServesOnAnswersAllAndEnds() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").started().readable()) {
            TestClient idle = net.client();
            TestClient held = net.client().ask(net.request("order"));
            ReceivedQuery g = net.servers.get("p").next();
            CountDownLatch ended = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            net.logged("planned restart: 2 connections, 1 ops in hand");
            TestClient later = net.client();
            for (int i = 0; i < 10; i++) { // how long a read takes is known by the time that little of it is left
                assertThat(net.read(later)).isEqualTo(ROW_7);
            }
            Thread.sleep(1000); // nobody else may be there to serve those that are connected
            assertThat(net.read(later)).isEqualTo(ROW_7);
            net.logged("planned restart: idle connections end");
            TestClient last = new TestClient(net.gateway.port());
            last.write(MessageWriter.startup().appendBuffer(MessageWriter.query(net.request("page"))));
            assertThat(List.of(last.answer(), last.answer(), last.answer())).containsExactly("ready", ROW_7, "closed");
            assertThat(idle.answer()).isEqualTo("closed");
            assertThat(ended.getCount()).isEqualTo(1);
            g.row(new byte[] {3});
            assertThat(held.answer()).isEqualTo("row 03 ready");
            assertThat(held.answer()).isEqualTo("closed");
            assertThat(ended.await(GatewayTestFixture.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
            net.logged("0 ops unanswered");
        }
    }

    @Test
    void anOpThatWaitsForLongerThanAPlannedRestartLastsIsAnsweredBeforeTheEnd() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").started().readable()) {
            TestClient patient = net.client().ask(net.request("order", 9000));
            net.servers.get("p").next(); // never answered
            CountDownLatch ended = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            assertThat(ended.await(GatewayTestFixture.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
            assertThat(net.log())
                    .contains("0 ops unanswered")
                    .doesNotContain("1 ops unanswered"); // here a process would exit
            assertThat(patient.answer()).startsWith("58000");
        }
    }

    @Test
    void aHangUpReadsTheConfigurationAgainAndABadOneChangesNothing() throws Exception {
        Path file = Files.createTempFile("gateway", ".json");
        Path log = Files.createTempFile("gateway", ".log");
        Process gateway = null;
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").readable();
                FakeDiscovery elsewhere = new FakeDiscovery(net.list(5, true, "p"))) {
            Files.writeString(file, GatewayTestFixture.configuration(net.registry, 256, 30_000));
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
            net.registry.asked("/registry/instances?from=1&hold_ms=2000");
            TestClient c = new TestClient(port).greeted();
            assertThat(net.read(c)).isEqualTo(ROW_7);

            Files.writeString(file, "{\"name\":");
            hangUp(gateway);
            line(log, "new configuration not taken");
            Files.writeString(file, GatewayTestFixture.configuration(elsewhere, 256, 30_000));
            hangUp(gateway);
            elsewhere.asked("/registry/instances");
            elsewhere.asked("/registry/instances?from=5&hold_ms=2000");
            line(log, "server r1 listed GONE");
            assertThat(net.read(c)).isEqualTo(ROW_7);
            c.close();
            gateway.destroy();
            assertThat(gateway.waitFor(GatewayTestFixture.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
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
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.PATIENCE_S);
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
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").started().readable()) {
            TestClient good = net.client();
            TestClient c = new TestClient(net.gateway.port());
            c.write(Buffer.buffer().appendInt(8).appendInt(80877103));
            assertThat(c.readByte()).isEqualTo('N');
            c.write(Buffer.buffer().appendInt(8).appendInt(80877104));
            assertThat(c.readByte()).isEqualTo('N');
            c.greeted();
            for (String text : List.of(
                    "SELECT 1",
                    "SELECT 1 /* id=a,c=nothing,t=north,d=5 */",
                    "SELECT 1 /* id=a,c=page,t=nobody,d=5 */",
                    "SELECT 1 /* id=a,c=page,t=north,d=-1 */")) {
                assertThat(c.ask(text).answer()).matches("(42601|22023) ready");
            }
            c.write(bytes('P', 8).appendInt(0).appendBuffer(bytes('B', 4)).appendBuffer(bytes('S', 4)));
            assertThat(c.answer()).isEqualTo("0A000 ready");
            String request = net.request("order");
            c.ask(request);
            ReceivedQuery g = net.servers.get("p").next();
            assertThat(good.ask(request).answer()).isEqualTo("42710 ready");
            g.row(new byte[] {7});
            assertThat(c.answer()).isEqualTo(ROW_7);
            for (Buffer b : List.of(bytes('?', 4), bytes('Q', 3), bytes('Q', 1 << 30))) {
                assertThat(net.client().write(b).answer()).isEqualTo("08P01 closed");
            }
            assertThat(new TestClient(net.gateway.port())
                            .write(Buffer.buffer().appendInt(8).appendInt(2 << 16))
                            .answer())
                    .isEqualTo("0A000 closed");
            assertThat(new TestClient(net.gateway.port())
                            .write(Buffer.buffer()
                                    .appendInt(16)
                                    .appendInt(80877102)
                                    .appendLong(0))
                            .answer())
                    .isEqualTo("closed");
            assertThat(net.read(good)).isEqualTo(ROW_7);
        }
    }

    @Test
    void aClientThatDoesNotReadIsHeldBackAndClosedAndHarmsNoOther() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1")) {
            net.settings = told ->
                    told.replace("\"deadlineMs\":20000", "\"deadlineMs\":4000"); // no op takes longer than its 5 s
            net.started();
            net.readable().servers.values().forEach(s -> s.value = new byte[60_000]);
            TestClient deaf = net.client();
            Thread asks = new Thread(() -> {
                try {
                    for (int i = 0; i < 1000; i++) {
                        deaf.ask(net.request("page")); // more than all buffers on the way can take
                    }
                } catch (java.io.IOException e) {
                    return; // closed, as it should be
                }
            });
            asks.start();
            net.logged("client that does not read");
            asks.join(TimeUnit.SECONDS.toMillis(GatewayTestFixture.PATIENCE_S));
            assertThat(asks.isAlive()).isFalse();
            net.servers.values().forEach(s -> s.value = new byte[] {7});
            assertThat(net.read(net.client())).isEqualTo(ROW_7);
        }
    }

    @Test
    void whatAClientBeginsAndDoesNotEndIsEndedAndAnOpTakenBeforeItIsAnswered() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").started()) {
            TestClient silent = new TestClient(net.gateway.port());
            TestClient half = new TestClient(net.gateway.port()).write(Buffer.buffer().appendInt(40));
            TestClient lateHalf = net.client().write(bytes('Q', 50));
            TestClient taken = net.client().ask(net.request("order")).write(bytes('Q', 50));
            ReceivedQuery g = net.servers.get("p").next();
            for (TestClient c : List.of(silent, half, lateHalf)) {
                assertThat(c.answer()).isEqualTo("08P01 closed");
            }
            net.logged("client with an unfinished message");
            g.row(new byte[] {7});
            assertThat(List.of(taken.answer(), taken.answer())).containsExactly(ROW_7, "08P01 closed");
        }
    }

    @Test
    void whereClientsHoldAboutAllTheyMayThoseThatDoNothingMakeWaySoon() throws Exception {
        try (GatewayTestFixture net =
                new GatewayTestFixture("p", "r1").started(64, 30_000).readable()) { // 28 for clients, 12 before idle ones end soon
            List<TestClient> all = new ArrayList<>();
            for (int i = 0; i < 15; i++) {
                all.add(net.client());
            }
            long since = System.nanoTime();
            for (TestClient c : all.subList(0, 3)) {
                assertThat(c.answer()).isEqualTo("closed");
            }
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since))
                    .isLessThan(1900); // not the usual 2.1 s
            assertThat(net.read(all.get(14))).isEqualTo(ROW_7);
        }
    }

    @Test
    void messagesThatAreBegunAndNotEndedCostTheirClientsTheConnectionsAndOthersAreServed() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").started().readable()) {
            for (int i = 0; i < 140; i++) {
                net.client().write(bytes('Q', 130_000).appendBytes(new byte[125_000]));
            }
            net.logged("too much unfinished");
            assertThat(net.read(net.client())).isEqualTo(ROW_7);
        }
    }
}
