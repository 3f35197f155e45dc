package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.EOFException;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import ploverdale.FaultyTransport.Call;
import ploverdale.FaultyTransport.Errno;
import ploverdale.FaultyTransport.Fault;
import ploverdale.net.eventloop.SingleLoopVertx;
import ploverdale.net.postgres.MessageWriter;

/** A real gateway whose system calls fail as Linux documents, between stand-ins on loopback. */
@Timeout(120)
class SystemCallFailuresTest {
    private static final String ROW_7 = "row 07 ready";
    private static final List<Logger> LIBRARIES = List.of(Logger.getLogger("io.netty"), Logger.getLogger("io.vertx"));
    private static final int LASTING = Integer.MAX_VALUE;
    private static final int A_MOMENT = 3; // calls
    private static final int SHORT_IDLE_MS = 400; // idle connections to servers end so soon that requests need new ones
    private static final int TOLD_WITHIN_MS = 6000; // after discovery had a change and could be reached
    private static final int NETTY_PAUSE_MS = 1000; // for which its acceptor would accept nothing

    private final FaultyTransport system = new FaultyTransport();

    @BeforeAll
    static void keepLibrariesFromLoggingEachFailure() {
        LIBRARIES.forEach(l -> l.setLevel(Level.OFF));
    }

    @AfterAll
    static void letLibrariesLog() {
        LIBRARIES.forEach(l -> l.setLevel(null));
    }

    private GatewayTestFixture net(String... servers) throws IOException {
        return new GatewayTestFixture(SingleLoopVertx.create(system), servers);
    }

    private static long since(long began) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
    }

    private static void waitForNoConnection(GatewayTestFixture net, FakeDatabaseServer server)
            throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.TIMEOUT_S);
        while (server.openConnections.get() > 0) {
            assertThat(System.nanoTime()).as(net::log).isLessThan(end);
            Thread.sleep(5);
        }
    }

    // -- listen and accept

    @ParameterizedTest
    @EnumSource(names = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"})
    void aGatewayStartsThoughItsListenerCannotBeOpenedForAMoment(Errno errno) throws Exception {
        Fault fault = system.fail(Call.LISTENER_SOCKET, errno, A_MOMENT); // the first of them is the practice's
        try (GatewayTestFixture net = net("p").start()) {
            net.servers.get("p").answersWrites = true;
            assertThat(fault.failed()).as(net::log).isEqualTo(A_MOMENT);
            assertThat(net.connect().sendQuery(net.queryText("order")).readResponse())
                    .as(net::log)
                    .isEqualTo(ROW_7);
        }
    }

    @Test
    void anAddressThatIsTakenIsToldAtOnce() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                GatewayTestFixture net = net("p")) {
            net.configurationEdit = told ->
                    told.replaceFirst("\"listen\":\"127.0.0.1:\\d+", "\"listen\":\"127.0.0.1:" + taken.getLocalPort());
            long began = System.nanoTime();
            assertThatThrownBy(net::start).hasRootCauseInstanceOf(BindException.class);
            assertThat(since(began)).isLessThan(TimeUnit.SECONDS.toMillis(GatewayTestFixture.TIMEOUT_S));
            assertThat(net.log()).doesNotContain("cannot listen yet");
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EINTR"})
    void aClientIsServedSoonAfterAcceptsThatFailedForAMoment(Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            net.servers.get("p").answersWrites = true;
            TestClient other = net.connect();
            Fault fault = system.fail(Call.ACCEPT, errno, A_MOMENT);
            long began = System.nanoTime();
            TestClient c = net.connect();
            assertThat(c.sendQuery(net.queryText("order")).readResponse())
                    .as(net::log)
                    .isEqualTo(ROW_7);
            assertThat(since(began)).as(net::log).isLessThan(NETTY_PAUSE_MS / 2);
            assertThat(fault.failed()).isEqualTo(A_MOMENT);
            assertThat(other.sendQuery(net.queryText("order")).readResponse()).isEqualTo(ROW_7);
        }
    }

    @Test
    void acceptsThatFailForLongNeitherEndTheListenerNorSpin() throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            net.servers.get("p").answersWrites = true;
            TestClient other = net.connect();
            Fault fault = system.fail(Call.ACCEPT, Errno.EMFILE, LASTING);
            long callsBefore = system.calls(Call.ACCEPT);
            long began = System.nanoTime();
            TestClient waits = new TestClient(net.gateway.port());
            while (since(began) < 500) {
                assertThat(other.sendQuery(net.queryText("order")).readResponse())
                        .as(net::log)
                        .isEqualTo(ROW_7);
            }
            assertThat(system.calls(Call.ACCEPT) - callsBefore)
                    .as("accepts in half a second")
                    .isBetween(2L, 200L);
            fault.end();
            long ended = System.nanoTime();
            assertThat(waits.completeStartup().sendQuery(net.queryText("order")).readResponse())
                    .as(net::log)
                    .isEqualTo(ROW_7);
            assertThat(since(ended)).isLessThan(NETTY_PAUSE_MS / 2);
            waits.close();
        }
    }

    @Test
    void aClientWhoseSocketTakesNoOptionsHarmsNoOther() throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            net.servers.get("p").answersWrites = true;
            TestClient other = net.connect();
            Fault fault = system.fail(Call.SET_OPTION, FaultyTransport.CLIENTS, Errno.EINVAL, 1);
            TestClient reset = new TestClient(net.gateway.port());
            assertThat(net.connect().sendQuery(net.queryText("order")).readResponse())
                    .as(net::log)
                    .isEqualTo(ROW_7);
            assertThat(fault.failed()).isEqualTo(1);
            assertThat(other.sendQuery(net.queryText("order")).readResponse()).isEqualTo(ROW_7);
            reset.close();
        }
    }

    // -- socket and connect

    @ParameterizedTest
    @CsvSource({
        "SOCKET,EMFILE",
        "SOCKET,ENFILE",
        "SOCKET,ENOBUFS",
        "SOCKET,ENOMEM",
        "CONNECT,EADDRNOTAVAIL",
        "CONNECT,ENOBUFS",
        "CONNECT,ENOMEM",
        "CONNECT,ENETUNREACH",
        "CONNECT,EPERM",
        "CONNECT,EINTR",
        "FINISH_CONNECT,ENETUNREACH",
        "SET_OPTION,EINVAL"
    })
    void aRequestWhoseConnectionCannotBeMadeForAMomentIsServedAllTheSame(Call call, Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p").start(256, SHORT_IDLE_MS)) {
            FakeDatabaseServer p = net.servers.get("p");
            p.answersWrites = true;
            TestClient c = net.connect();
            waitForNoConnection(net, p);
            boolean named = call != Call.SOCKET && call != Call.SET_OPTION; // those come before the address is known
            Fault fault = named ? system.fail(call, p.port(), errno, A_MOMENT) : system.fail(call, errno, A_MOMENT);
            assertThat(c.sendQuery(net.queryText("order")).readResponse())
                    .as(net::log)
                    .isEqualTo(ROW_7);
            assertThat(fault.failed())
                    .isEqualTo(errno == Errno.EINTR ? 1 : A_MOMENT); // an interrupted connect goes on by itself
            assertThat(net.log()).doesNotContain("silent");
        }
    }

    @ParameterizedTest
    @CsvSource({"SOCKET,EMFILE", "SOCKET,ENFILE", "CONNECT,EADDRNOTAVAIL", "CONNECT,ENOBUFS", "CONNECT,ENOMEM"})
    void aLackOfThisMachineEjectsNoServerHoweverLongItLasts(Call call, Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p", "r1", "r2").answerReads().start(256, SHORT_IDLE_MS)) {
            TestClient c = net.connect();
            assertThat(net.readWithRetries(c)).isEqualTo(ROW_7);
            Fault fault = system.fail(call, errno, LASTING);
            for (FakeDatabaseServer s : net.servers.values()) {
                waitForNoConnection(net, s);
            }
            long began = System.nanoTime();
            int rejected = 0;
            while (since(began) < 3500) { // longer than a server counts as heard, so that health checks come in, too
                rejected +=
                        c.sendQuery(net.queryText("quick", 200)).readResponse().startsWith("53300") ? 1 : 0;
            }
            assertThat(rejected).as(net::log).isPositive();
            assertThat(fault.failed()).isPositive();
            assertThat(net.log()).doesNotContain("silent");
            fault.end();
            long ended = System.nanoTime();
            while (!c.sendQuery(net.queryText("quick", 200)).readResponse().equals(ROW_7)) {
                assertThat(since(ended)).as(net::log).isLessThan(1500);
            }
            assertThat(net.log()).doesNotContain("silent");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "CONNECT,ENETUNREACH",
        "FINISH_CONNECT,EHOSTUNREACH",
        "FINISH_CONNECT,ETIMEDOUT",
        "FINISH_CONNECT,ECONNREFUSED"
    })
    void aServerThatCannotBeReachedLeavesItsRequestsToOthers(Call call, Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p", "r1", "r2").answerReads().start(256, SHORT_IDLE_MS)) {
            TestClient c = net.connect();
            assertThat(net.readWithRetries(c)).isEqualTo(ROW_7);
            FakeDatabaseServer r1 = net.servers.get("r1");
            Fault fault = system.fail(call, r1.port(), errno, LASTING);
            waitForNoConnection(net, r1);
            int before = r1.receivedRequests.size();
            for (int i = 0; i < 40; i++) {
                assertThat(net.readWithRetries(c)).as(net::log).isEqualTo(ROW_7);
            }
            assertThat(fault.failed()).isPositive();
            assertThat(r1.receivedRequests).as(net::log).hasSize(before);
            fault.end();
            long ended = System.nanoTime();
            while (r1.receivedRequests.size() == before) {
                assertThat(net.readWithRetries(c)).as(net::log).isEqualTo(ROW_7);
                assertThat(since(ended)).as(net::log).isLessThan(10_000);
            }
        }
    }

    // -- read and write

    @ParameterizedTest
    @CsvSource({"1,ETIMEDOUT", "1,EHOSTUNREACH", "40,ECONNRESET", "40,ENOBUFS", "40,ENOMEM"})
    void aQueryOfWhichAPartWasTakenCountsAsNotRun(int taken, Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            aQueryNotTakenWholeRunsOnce(net, port -> system.failWriteAfter(taken, port, errno));
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"})
    void aQueryOfWhichOnlyTheLastByteWasNotTakenCountsAsNotRun(Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            aQueryNotTakenWholeRunsOnce(net, port -> system.failWriteBeforeLastByte(port, errno));
        }
    }

    private static void aQueryNotTakenWholeRunsOnce(GatewayTestFixture net, IntFunction<Fault> installs)
            throws Exception {
        FakeDatabaseServer p = net.servers.get("p");
        p.answersWrites = true;
        TestClient c = net.connect();
        assertThat(c.sendQuery(net.queryText("order")).readResponse()).isEqualTo(ROW_7);
        Fault fault = installs.apply(p.port());
        assertThat(c.sendQuery(net.queryText("order")).readResponse())
                .as(net::log)
                .isEqualTo(ROW_7);
        assertThat(fault.failed()).isEqualTo(1);
        assertThat(p.receivedRequests).as("queries that came whole").hasSize(2);
        net.awaitLog("NOT_WRITTEN");
        assertThat(net.log()).doesNotContain("silent");
    }

    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "ENOMEM"})
    void aQueryThatWasTakenWholeIsNotRunAgainWhenItsAnswerCannotBeRead(Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            FakeDatabaseServer p = net.servers.get("p");
            TestClient c = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery g = p.nextQuery();
            Fault fault = system.fail(Call.READ, p.port(), errno, 1);
            g.sendRow(new byte[] {7});
            assertThat(c.readResponse()).as(net::log).isEqualTo("58000 ready");
            assertThat(fault.failed()).isEqualTo(1);
            c.sendQuery(net.queryText("order"));
            p.nextQuery().sendRow(new byte[] {7});
            assertThat(c.readResponse()).as(net::log).isEqualTo(ROW_7);
            assertThat(p.receivedRequests).hasSize(2);
        }
    }

    @Test
    void readsAndWritesOfAByteAtATimeChangeNothing() throws Exception {
        try (GatewayTestFixture net = net("p", "r1").start()) {
            FakeDatabaseServer p = net.servers.get("p");
            system.shorten(1);
            TestClient c = net.connect();
            byte[] value = new byte[1000];
            for (int i = 0; i < 3; i++) {
                c.sendQuery(net.queryText("order"));
                ReceivedQuery g = p.nextQuery();
                g.sendRow(value);
                assertThat(c.readResponse()).as(net::log).isEqualTo("row " + "00".repeat(value.length) + " ready");
            }
            assertThat(p.receivedRequests).hasSize(3);
            net.discovery.updates.add(net.endpointList(2, false, "r1:DRAINING"));
            net.awaitLog("server r1 listed DRAINING");
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH", "ENOMEM"})
    void aClientWhoseConnectionFailsToBeReadHasGone(Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            FakeDatabaseServer p = net.servers.get("p");
            TestClient other = net.connect();
            TestClient c = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery g = p.nextQuery();
            Fault fault = system.fail(Call.READ, FaultyTransport.CLIENTS, errno, 1);
            c.sendQuery(net.queryText("order"));
            g.awaitClosedByGateway();
            assertThat(fault.failed()).isEqualTo(1);
            assertThat(p.pendingQueries).isEmpty();
            other.sendQuery(net.queryText("order"));
            p.nextQuery().sendRow(new byte[] {7});
            assertThat(other.readResponse()).as(net::log).isEqualTo(ROW_7);
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH", "ENOBUFS"})
    void aClientWhoseConnectionFailsToBeWrittenHarmsNoOther(Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            FakeDatabaseServer p = net.servers.get("p");
            TestClient other = net.connect();
            TestClient c = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery g = p.nextQuery();
            Fault fault = system.fail(Call.WRITE, FaultyTransport.CLIENTS, errno, 1);
            g.sendRow(new byte[] {7});
            assertThat(c.readResponse()).as(net::log).isEqualTo("closed");
            assertThat(fault.failed()).isEqualTo(1);
            other.sendQuery(net.queryText("order"));
            p.nextQuery().sendRow(new byte[] {7});
            assertThat(other.readResponse()).as(net::log).isEqualTo(ROW_7);
        }
    }

    @Test
    void anIdleClientWhoseOutputCannotBeShutIsClosedAllTheSame() throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            TestClient idle = net.connect();
            Fault fault = system.fail(Call.SHUTDOWN, FaultyTransport.CLIENTS, Errno.ENOTCONN, 1);
            CountDownLatch ended = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
            assertThat(idle.readResponse()).as(net::log).isEqualTo("closed");
            assertThat(fault.failed()).isEqualTo(1);
            assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .as(net::log)
                    .isTrue();
        }
    }

    // -- discovery

    @ParameterizedTest
    @CsvSource({
        "CONNECT,EADDRNOTAVAIL",
        "CONNECT,ENOBUFS",
        "CONNECT,ENETUNREACH",
        "SOCKET,EMFILE",
        "SOCKET,ENOMEM",
        "FINISH_CONNECT,EHOSTUNREACH",
        "FINISH_CONNECT,ETIMEDOUT",
        "WRITE,ETIMEDOUT",
        "READ,EHOSTUNREACH"
    })
    void aChangeIsHeardInTimeThoughCallsToDiscoveryFail(Call call, Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p", "r1").start()) {
            int port = net.discovery.port();
            net.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
            Fault fault =
                    call == Call.SOCKET ? system.fail(call, errno, LASTING) : system.fail(call, port, errno, LASTING);
            net.discovery.firstWatchResponse = net.endpointList(2, false, "r1:DRAINING");
            net.discovery.closeConnections(); // so that the next call needs a new one
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.TIMEOUT_S);
            while (fault.failed() < A_MOMENT) {
                assertThat(System.nanoTime()).as(net::log).isLessThan(end);
                Thread.sleep(5);
            }
            fault.end();
            long reachable = System.nanoTime();
            net.awaitLog("server r1 listed DRAINING");
            assertThat(since(reachable)).as(net::log).isLessThan(TOLD_WITHIN_MS);
        }
    }

    // -- all at once

    @ParameterizedTest
    @CsvSource({"1,true", "2,true", "3,false", "4,false"})
    void whateverFailsEachRequestRunsOnceAtMostAndIsAnsweredForWhatItIs(long seed, boolean clientsToo)
            throws Exception {
        Map<Call, List<Errno>> errnos = new EnumMap<>(Call.class);
        errnos.put(
                Call.ACCEPT,
                List.of(Errno.ECONNABORTED, Errno.EMFILE, Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM, Errno.EINTR));
        errnos.put(Call.SOCKET, List.of(Errno.EMFILE, Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM));
        errnos.put(Call.CONNECT, List.of(Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.ENOBUFS, Errno.EINTR));
        errnos.put(Call.FINISH_CONNECT, List.of(Errno.ETIMEDOUT, Errno.EHOSTUNREACH));
        errnos.put(Call.READ, List.of(Errno.ETIMEDOUT, Errno.EHOSTUNREACH, Errno.EINTR, Errno.EINTR));
        errnos.put(Call.WRITE, List.of(Errno.ETIMEDOUT, Errno.EHOSTUNREACH, Errno.EINTR, Errno.EINTR));
        try (GatewayTestFixture net = net("p", "r1").answerReads().start()) {
            FakeDatabaseServer p = net.servers.get("p");
            p.answersWrites = true;
            system.storm(seed, 0.05, errnos, clientsToo);
            system.shorten(50);
            Map<String, String> answers = new LinkedHashMap<>(); // by the id of a request
            TestClient c = null;
            for (int i = 0; i < 300; i++) {
                c = c == null ? clientInStorm(net) : c;
                String query = net.queryText("order");
                String answer = answerInStorm(c, query);
                answers.put(query.replaceAll(".* id=(\\w+),.*", "$1"), answer);
                c = answer.endsWith("closed") ? null : c;
            }
            system.calm();
            TestClient after = net.connect();
            long began = System.nanoTime();
            String last = "";
            while (!last.equals(ROW_7) && since(began) < 5000) {
                last = after.sendQuery(net.queryText("order")).readResponse();
            }
            assertThat(last).as("seed %s\n%s", seed, net.log()).isEqualTo(ROW_7);
            for (Map.Entry<String, String> e : answers.entrySet()) {
                long runs = p.receivedRequests.stream()
                        .filter(q -> q.contains(" id=" + e.getKey() + ","))
                        .count();
                String what =
                        "seed " + seed + ", request " + e.getKey() + " answered " + e.getValue() + "\n" + net.log();
                assertThat(runs).as(what).isLessThanOrEqualTo(1);
                assertThat(e.getValue())
                        .as(what)
                        .matches("row 07 ready|58000 ready|53300 (after \\d+ )?ready|(.* )?closed");
                if (!clientsToo) {
                    assertThat(e.getValue()).as(what).endsWith(" ready"); // each has its answer
                }
                if (e.getValue().equals(ROW_7)) {
                    assertThat(runs).as(what).isEqualTo(1);
                } else if (e.getValue().startsWith("53300")) {
                    assertThat(runs).as(what).isZero();
                }
            }
            assertThat(answers.values().stream().filter(ROW_7::equals).count())
                    .as(answers.toString())
                    .isGreaterThan(100);
        }
    }

    /** Its connection may fail as well; then it comes back. */
    private static TestClient clientInStorm(GatewayTestFixture net) throws IOException {
        for (int i = 0; i < 50; i++) {
            TestClient c = new TestClient(net.gateway.port());
            try {
                if (c.write(MessageWriter.startup()).readResponse().equals("ready")) {
                    return c;
                }
            } catch (EOFException | SocketException e) {
                c.close();
            }
        }
        throw new IOException("no connection came up");
    }

    /** What the client got, "closed" where its connection failed. */
    private static String answerInStorm(TestClient c, String query) throws IOException {
        try {
            return c.sendQuery(query).readResponse();
        } catch (EOFException | SocketException e) {
            return "closed";
        }
    }
}
