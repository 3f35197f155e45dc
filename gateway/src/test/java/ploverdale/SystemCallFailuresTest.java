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

/**
 * Checks that a failed system call affects only the request or connection that needed it. A real gateway runs between
 * fake servers, clients and discovery on loopback, and its calls fail with the error numbers that Linux documents.
 */
@Timeout(120)
class SystemCallFailuresTest {
    private static final String ROW_7 = "row 07 ready";
    private static final List<Logger> LIBRARY_LOGGERS =
            List.of(Logger.getLogger("io.netty"), Logger.getLogger("io.vertx"));
    /** Number of calls that fail in a fault that lasts until the test ends it. */
    private static final int UNLIMITED_CALLS = Integer.MAX_VALUE;
    /** Number of calls that fail in a temporary fault. */
    private static final int FEW_CALLS = 3;
    /** Idle timeout of connections to servers, so short that requests need new connections. */
    private static final int SHORT_IDLE_MS = 400;
    /** Time in which a change takes effect once discovery has it and can be reached. */
    private static final int CHANGE_WITHIN_MS = 6000;
    /** Time for which Netty's own acceptor would accept nothing after a failure. */
    private static final int NETTY_ACCEPT_PAUSE_MS = 1000;

    private final FaultyTransport systemCalls = new FaultyTransport();

    @BeforeAll
    static void muteLibraryLogs() {
        LIBRARY_LOGGERS.forEach(l -> l.setLevel(Level.OFF));
    }

    @AfterAll
    static void restoreLibraryLogs() {
        LIBRARY_LOGGERS.forEach(l -> l.setLevel(null));
    }

    private GatewayTestFixture net(String... servers) throws IOException {
        return new GatewayTestFixture(SingleLoopVertx.create(systemCalls), servers);
    }

    private static long msSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
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
    void aGatewayStartsThoughItsListenerTemporarilyCannotBeOpened(Errno errno) throws Exception {
        // The first of them hits the warm-up run.
        Fault fault = systemCalls.fail(Call.LISTENER_SOCKET, errno, FEW_CALLS);
        try (GatewayTestFixture net = net("p").start()) {
            net.servers.get("p").answersWrites = true;
            assertThat(fault.failed()).as(net::log).isEqualTo(FEW_CALLS);
            assertThat(net.connect().sendQuery(net.queryText("order")).readResponse())
                    .as(net::log)
                    .isEqualTo(ROW_7);
        }
    }

    @Test
    void anAddressInUseIsReportedAtOnce() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                GatewayTestFixture net = net("p")) {
            net.configurationEdit = configuration -> configuration.replaceFirst(
                    "\"listen\":\"127.0.0.1:\\d+", "\"listen\":\"127.0.0.1:" + taken.getLocalPort());
            long startNanos = System.nanoTime();
            assertThatThrownBy(net::start).hasRootCauseInstanceOf(BindException.class);
            assertThat(msSince(startNanos)).isLessThan(TimeUnit.SECONDS.toMillis(GatewayTestFixture.TIMEOUT_S));
            assertThat(net.log()).doesNotContain("cannot listen yet");
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EINTR"})
    void aClientIsServedSoonAfterAcceptsFailedTemporarily(Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            net.servers.get("p").answersWrites = true;
            TestClient other = net.connect();
            Fault fault = systemCalls.fail(Call.ACCEPT, errno, FEW_CALLS);
            long startNanos = System.nanoTime();
            TestClient client = net.connect();
            assertThat(client.sendQuery(net.queryText("order")).readResponse())
                    .as(net::log)
                    .isEqualTo(ROW_7);
            assertThat(msSince(startNanos)).as(net::log).isLessThan(NETTY_ACCEPT_PAUSE_MS / 2);
            assertThat(fault.failed()).isEqualTo(FEW_CALLS);
            assertThat(other.sendQuery(net.queryText("order")).readResponse()).isEqualTo(ROW_7);
        }
    }

    @Test
    void acceptsThatKeepFailingNeitherCloseTheListenerNorSpin() throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            net.servers.get("p").answersWrites = true;
            TestClient other = net.connect();
            Fault fault = systemCalls.fail(Call.ACCEPT, Errno.EMFILE, UNLIMITED_CALLS);
            long callsBefore = systemCalls.calls(Call.ACCEPT);
            long startNanos = System.nanoTime();
            TestClient waiting = new TestClient(net.gateway.port());
            while (msSince(startNanos) < 500) {
                assertThat(other.sendQuery(net.queryText("order")).readResponse())
                        .as(net::log)
                        .isEqualTo(ROW_7);
            }
            assertThat(systemCalls.calls(Call.ACCEPT) - callsBefore)
                    .as("accepts in half a second")
                    .isBetween(2L, 200L);
            fault.end();
            long faultEnded = System.nanoTime();
            assertThat(waiting.completeStartup()
                            .sendQuery(net.queryText("order"))
                            .readResponse())
                    .as(net::log)
                    .isEqualTo(ROW_7);
            assertThat(msSince(faultEnded)).isLessThan(NETTY_ACCEPT_PAUSE_MS / 2);
            waiting.close();
        }
    }

    @Test
    void aClientWhoseSocketOptionsCannotBeSetDoesNotAffectOthers() throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            net.servers.get("p").answersWrites = true;
            TestClient other = net.connect();
            Fault fault = systemCalls.fail(Call.SET_OPTION, FaultyTransport.CLIENTS, Errno.EINVAL, 1);
            TestClient failing = new TestClient(net.gateway.port());
            assertThat(net.connect().sendQuery(net.queryText("order")).readResponse())
                    .as(net::log)
                    .isEqualTo(ROW_7);
            assertThat(fault.failed()).isEqualTo(1);
            assertThat(other.sendQuery(net.queryText("order")).readResponse()).isEqualTo(ROW_7);
            failing.close();
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
    void aRequestIsServedThoughItsConnectionTemporarilyCannotBeOpened(Call call, Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p").start(256, SHORT_IDLE_MS)) {
            FakeDatabaseServer primary = net.servers.get("p");
            primary.answersWrites = true;
            TestClient client = net.connect();
            waitForNoConnection(net, primary);
            // These two precede connect, so they can't be matched by address.
            boolean matchedByAddress = call != Call.SOCKET && call != Call.SET_OPTION;
            Fault fault = matchedByAddress
                    ? systemCalls.fail(call, primary.port(), errno, FEW_CALLS)
                    : systemCalls.fail(call, errno, FEW_CALLS);
            assertThat(client.sendQuery(net.queryText("order")).readResponse())
                    .as(net::log)
                    .isEqualTo(ROW_7);
            assertThat(fault.failed())
                    .isEqualTo(errno == Errno.EINTR ? 1 : FEW_CALLS); // the kernel completes an interrupted connect
            assertThat(net.log()).doesNotContain("silent");
        }
    }

    @ParameterizedTest
    @CsvSource({"SOCKET,EMFILE", "SOCKET,ENFILE", "CONNECT,EADDRNOTAVAIL", "CONNECT,ENOBUFS", "CONNECT,ENOMEM"})
    void aLackOfLocalResourcesEjectsNoServerHoweverLongItLasts(Call call, Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p", "r1", "r2").answerReads().start(256, SHORT_IDLE_MS)) {
            TestClient client = net.connect();
            assertThat(net.readWithRetries(client)).isEqualTo(ROW_7);
            Fault fault = systemCalls.fail(call, errno, UNLIMITED_CALLS);
            for (FakeDatabaseServer server : net.servers.values()) {
                waitForNoConnection(net, server);
            }
            long startNanos = System.nanoTime();
            int rejected = 0;
            // Longer than a server's last answer is valid, so that health checks are sent as well.
            while (msSince(startNanos) < 3500) {
                rejected += client.sendQuery(net.queryText("quick", 200))
                                .readResponse()
                                .startsWith("53300")
                        ? 1
                        : 0;
            }
            assertThat(rejected).as(net::log).isPositive();
            assertThat(fault.failed()).isPositive();
            assertThat(net.log()).doesNotContain("silent");
            fault.end();
            long faultEnded = System.nanoTime();
            while (!client.sendQuery(net.queryText("quick", 200)).readResponse().equals(ROW_7)) {
                assertThat(msSince(faultEnded)).as(net::log).isLessThan(1500);
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
    void requestsOfAnUnreachableServerAreServedByOthers(Call call, Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p", "r1", "r2").answerReads().start(256, SHORT_IDLE_MS)) {
            TestClient client = net.connect();
            assertThat(net.readWithRetries(client)).isEqualTo(ROW_7);
            FakeDatabaseServer r1 = net.servers.get("r1");
            Fault fault = systemCalls.fail(call, r1.port(), errno, UNLIMITED_CALLS);
            waitForNoConnection(net, r1);
            int queriesBefore = r1.receivedRequests.size();
            for (int i = 0; i < 40; i++) {
                assertThat(net.readWithRetries(client)).as(net::log).isEqualTo(ROW_7);
            }
            assertThat(fault.failed()).isPositive();
            assertThat(r1.receivedRequests).as(net::log).hasSize(queriesBefore);
            fault.end();
            long faultEnded = System.nanoTime();
            while (r1.receivedRequests.size() == queriesBefore) {
                assertThat(net.readWithRetries(client)).as(net::log).isEqualTo(ROW_7);
                assertThat(msSince(faultEnded)).as(net::log).isLessThan(10_000);
            }
        }
    }

    // -- read and write

    @ParameterizedTest
    @CsvSource({"1,ETIMEDOUT", "1,EHOSTUNREACH", "40,ECONNRESET", "40,ENOBUFS", "40,ENOMEM"})
    void aQueryOfWhichOnlyAPartWasWrittenCountsAsNotRun(int bytesTaken, Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            assertPartlyWrittenQueryRunsOnce(net, port -> systemCalls.failWriteAfter(bytesTaken, port, errno));
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"})
    void aQueryOfWhichOnlyTheLastByteWasNotWrittenCountsAsNotRun(Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            assertPartlyWrittenQueryRunsOnce(net, port -> systemCalls.failWriteBeforeLastByte(port, errno));
        }
    }

    private static void assertPartlyWrittenQueryRunsOnce(GatewayTestFixture net, IntFunction<Fault> installFault)
            throws Exception {
        FakeDatabaseServer primary = net.servers.get("p");
        primary.answersWrites = true;
        TestClient client = net.connect();
        assertThat(client.sendQuery(net.queryText("order")).readResponse()).isEqualTo(ROW_7);
        Fault fault = installFault.apply(primary.port());
        assertThat(client.sendQuery(net.queryText("order")).readResponse())
                .as(net::log)
                .isEqualTo(ROW_7);
        assertThat(fault.failed()).isEqualTo(1);
        assertThat(primary.receivedRequests).as("queries received in full").hasSize(2);
        net.awaitLog("NOT_WRITTEN");
        assertThat(net.log()).doesNotContain("silent");
    }

    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "ENOMEM"})
    void aQueryWrittenInFullIsNotRunAgainWhenItsAnswerCannotBeRead(Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            FakeDatabaseServer primary = net.servers.get("p");
            TestClient client = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery query = primary.nextQuery();
            Fault fault = systemCalls.fail(Call.READ, primary.port(), errno, 1);
            query.sendRow(new byte[] {7});
            assertThat(client.readResponse()).as(net::log).isEqualTo("58000 ready");
            assertThat(fault.failed()).isEqualTo(1);
            client.sendQuery(net.queryText("order"));
            primary.nextQuery().sendRow(new byte[] {7});
            assertThat(client.readResponse()).as(net::log).isEqualTo(ROW_7);
            assertThat(primary.receivedRequests).hasSize(2);
        }
    }

    @Test
    void readsAndWritesOfAByteAtATimeChangeNothing() throws Exception {
        try (GatewayTestFixture net = net("p", "r1").start()) {
            FakeDatabaseServer primary = net.servers.get("p");
            systemCalls.shorten(1);
            TestClient client = net.connect();
            byte[] value = new byte[1000];
            for (int i = 0; i < 3; i++) {
                client.sendQuery(net.queryText("order"));
                ReceivedQuery query = primary.nextQuery();
                query.sendRow(value);
                assertThat(client.readResponse()).as(net::log).isEqualTo("row " + "00".repeat(value.length) + " ready");
            }
            assertThat(primary.receivedRequests).hasSize(3);
            net.discovery.updates.add(net.endpointList(2, false, "r1:DRAINING"));
            net.awaitLog("server r1 listed DRAINING");
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH", "ENOMEM"})
    void attemptsAreCancelledWhenTheirClientsConnectionCannotBeRead(Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            FakeDatabaseServer primary = net.servers.get("p");
            TestClient other = net.connect();
            TestClient client = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery query = primary.nextQuery();
            Fault fault = systemCalls.fail(Call.READ, FaultyTransport.CLIENTS, errno, 1);
            client.sendQuery(net.queryText("order"));
            query.awaitClosedByGateway();
            assertThat(fault.failed()).isEqualTo(1);
            assertThat(primary.pendingQueries).isEmpty();
            other.sendQuery(net.queryText("order"));
            primary.nextQuery().sendRow(new byte[] {7});
            assertThat(other.readResponse()).as(net::log).isEqualTo(ROW_7);
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH", "ENOBUFS"})
    void aClientWhoseConnectionCannotBeWrittenDoesNotAffectOthers(Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            FakeDatabaseServer primary = net.servers.get("p");
            TestClient other = net.connect();
            TestClient client = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery query = primary.nextQuery();
            Fault fault = systemCalls.fail(Call.WRITE, FaultyTransport.CLIENTS, errno, 1);
            query.sendRow(new byte[] {7});
            assertThat(client.readResponse()).as(net::log).isEqualTo("closed");
            assertThat(fault.failed()).isEqualTo(1);
            other.sendQuery(net.queryText("order"));
            primary.nextQuery().sendRow(new byte[] {7});
            assertThat(other.readResponse()).as(net::log).isEqualTo(ROW_7);
        }
    }

    @Test
    void anIdleConnectionIsClosedThoughItsOutputCannotBeShutDown() throws Exception {
        try (GatewayTestFixture net = net("p").start()) {
            TestClient idle = net.connect();
            Fault fault = systemCalls.fail(Call.SHUTDOWN, FaultyTransport.CLIENTS, Errno.ENOTCONN, 1);
            CountDownLatch shutdownEnded = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(shutdownEnded));
            assertThat(idle.readResponse()).as(net::log).isEqualTo("closed");
            assertThat(fault.failed()).isEqualTo(1);
            assertThat(shutdownEnded.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
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
    void aChangeIsReceivedInTimeThoughCallsToDiscoveryFailed(Call call, Errno errno) throws Exception {
        try (GatewayTestFixture net = net("p", "r1").start()) {
            int port = net.discovery.port();
            net.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
            Fault fault = call == Call.SOCKET
                    ? systemCalls.fail(call, errno, UNLIMITED_CALLS)
                    : systemCalls.fail(call, port, errno, UNLIMITED_CALLS);
            net.discovery.firstWatchResponse = net.endpointList(2, false, "r1:DRAINING");
            net.discovery.closeConnections(); // so that the next call needs a new connection
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.TIMEOUT_S);
            while (fault.failed() < FEW_CALLS) {
                assertThat(System.nanoTime()).as(net::log).isLessThan(end);
                Thread.sleep(5);
            }
            fault.end();
            long reachable = System.nanoTime();
            net.awaitLog("server r1 listed DRAINING");
            assertThat(msSince(reachable)).as(net::log).isLessThan(CHANGE_WITHIN_MS);
        }
    }

    // -- all of them together

    @ParameterizedTest
    @CsvSource({"1,true", "2,true", "3,false", "4,false"})
    void underRandomFaultsEachRequestRunsAtMostOnceAndItsAnswerIsTrue(long seed, boolean clientsToo) throws Exception {
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
            FakeDatabaseServer primary = net.servers.get("p");
            primary.answersWrites = true;
            systemCalls.storm(seed, 0.05, errnos, clientsToo);
            systemCalls.shorten(50);
            Map<String, String> answers = new LinkedHashMap<>(); // by request id
            TestClient client = null;
            for (int i = 0; i < 300; i++) {
                client = client == null ? connectDespiteFaults(net) : client;
                String query = net.queryText("order");
                String answer = answerOrClosed(client, query);
                answers.put(query.replaceAll(".* id=(\\w+),.*", "$1"), answer);
                client = answer.endsWith("closed") ? null : client;
            }
            systemCalls.calm();
            TestClient after = net.connect();
            long startNanos = System.nanoTime();
            String last = "";
            while (!last.equals(ROW_7) && msSince(startNanos) < 5000) {
                last = after.sendQuery(net.queryText("order")).readResponse();
            }
            assertThat(last).as("seed %s\n%s", seed, net.log()).isEqualTo(ROW_7);
            for (Map.Entry<String, String> answered : answers.entrySet()) {
                long runs = primary.receivedRequests.stream()
                        .filter(q -> q.contains(" id=" + answered.getKey() + ","))
                        .count();
                String description = "seed " + seed + ", request " + answered.getKey() + " answered "
                        + answered.getValue() + "\n" + net.log();
                assertThat(runs).as(description).isLessThanOrEqualTo(1);
                assertThat(answered.getValue())
                        .as(description)
                        .matches("row 07 ready|58000 ready|53300 (after \\d+ )?ready|(.* )?closed");
                if (!clientsToo) {
                    // An answer can be lost only where faults hit clients too.
                    assertThat(answered.getValue()).as(description).endsWith(" ready");
                }
                if (answered.getValue().equals(ROW_7)) {
                    assertThat(runs).as(description).isEqualTo(1);
                } else if (answered.getValue().startsWith("53300")) {
                    assertThat(runs).as(description).isZero();
                }
            }
            assertThat(answers.values().stream().filter(ROW_7::equals).count())
                    .as(answers.toString())
                    .isGreaterThan(100);
        }
    }

    /** Connects a client; retries where its connection fails as well. */
    private static TestClient connectDespiteFaults(GatewayTestFixture net) throws IOException {
        for (int i = 0; i < 50; i++) {
            TestClient client = new TestClient(net.gateway.port());
            try {
                if (client.write(MessageWriter.startup()).readResponse().equals("ready")) {
                    return client;
                }
            } catch (EOFException | SocketException e) {
                client.close();
            }
        }
        throw new IOException("none of 50 connections completed its startup");
    }

    /** Sends the query and returns its answer, or "closed" if the connection failed. */
    private static String answerOrClosed(TestClient client, String query) throws IOException {
        try {
            return client.sendQuery(query).readResponse();
        } catch (EOFException | SocketException e) {
            return "closed";
        }
    }
}
