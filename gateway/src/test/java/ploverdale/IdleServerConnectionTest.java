package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Database servers that end or forget idle connections during a quiet time: what the first requests after it get. */
@Timeout(120)
class IdleServerConnectionTest {
    private static final String ROW_7 = "row 07 ready";
    private static final long QUIET_MS =
            2600; // longer than any server counts as heard, shorter than surplus connections are kept
    private static final long FORGOTTEN_AFTER_MS = 1000;
    private static final int WARM_UP_REQUESTS = 20;

    /** What a server does with connections that are idle. */
    enum IdleEnd {
        CLOSED,
        RESET,
        RESET_AT_NEXT_QUERY,
        SILENT
    }

    private static void end(FakeDatabaseServer server, IdleEnd how) throws Exception {
        switch (how) {
            case CLOSED -> server.closeConnections(false);
            case RESET -> server.closeConnections(true);
            case SILENT -> server.dropsSilently = true;
            default -> {}
        }
    }

    private static void forgetIdle(FakeDatabaseServer server, IdleEnd how) {
        server.dropsSilently = how == IdleEnd.SILENT;
        server.idleResetAfterMs = how == IdleEnd.CLOSED || how == IdleEnd.RESET ? 0 : FORGOTTEN_AFTER_MS;
    }

    private static void quietTime(GatewayTestFixture net, IdleEnd how) throws Exception {
        for (FakeDatabaseServer server : net.servers.values()) {
            forgetIdle(server, how);
        }
        Thread.sleep(QUIET_MS); // the quiet time itself
        for (FakeDatabaseServer server : net.servers.values()) {
            end(server, how);
        }
    }

    private static void warmUp(GatewayTestFixture net, TestClient client) throws Exception {
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            assertThat(net.readWithRetries(client)).as(net::log).isEqualTo(ROW_7);
            assertThat(client.sendQuery(net.queryText("order")).readResponse()).as(net::log).isEqualTo(ROW_7);
        }
    }

    /** Leaves this many connections to the primary idle, by as many writes at once. */
    private static List<TestClient> idleConnections(GatewayTestFixture net, int many) throws Exception {
        FakeDatabaseServer primary = net.servers.get("p");
        primary.answersWrites = false;
        List<TestClient> clients = new ArrayList<>();
        List<ReceivedQuery> out = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            clients.add(net.connect().sendQuery(net.queryText("order")));
            out.add(primary.nextQuery());
        }
        for (int i = 0; i < many; i++) {
            out.get(i).sendRow(new byte[] {7});
        }
        for (TestClient client : clients) {
            assertThat(client.readResponse()).as(net::log).isEqualTo(ROW_7);
        }
        primary.answersWrites = true;
        return clients;
    }

    @ParameterizedTest
    @EnumSource(IdleEnd.class)
    void theFirstReadAfterAQuietTimeIsServedInTime(IdleEnd how) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").answerReads().start()) {
            net.servers.get("p").answersWrites = true;
            TestClient client = net.connect();
            warmUp(net, client);
            for (int round = 0; round < 3; round++) {
                quietTime(net, how);
                long asked = System.nanoTime();
                assertThat(client.sendQuery(net.queryText("quick", 900)).readResponse())
                        .as("round %d:\n%s", round, net.log())
                        .isEqualTo(ROW_7);
                assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - asked))
                        .as(net::log)
                        .isLessThan(900);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(IdleEnd.class)
    void theFirstNonIdempotentWritesAfterAQuietTimeAreServedAndRunOnce(IdleEnd how) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").answerReads().start()) {
            FakeDatabaseServer primary = net.servers.get("p");
            primary.answersWrites = true;
            warmUp(net, net.connect());
            List<TestClient> clients = idleConnections(net, 3);
            primary.answersWrites = false;
            try (AnsweringServer answers = new AnsweringServer(primary, query -> query.sendRow(new byte[] {7}))) {
                quietTime(net, how);
                for (TestClient client : clients) {
                    client.sendQuery(net.queryText("order", 4000));
                }
                for (TestClient client : clients) {
                    assertThat(client.readResponse()).as(net::log).isEqualTo(ROW_7);
                }
                assertThat(answers.queries).doesNotHaveDuplicates().hasSize(clients.size());
            }
        }
    }
}
