package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The first requests after a quiet period succeed though servers closed or silently dropped idle connections. */
@Timeout(120)
class IdleServerConnectionTest {
    private static final String ROW_7 = "row 07 ready";
    private static final long QUIET_MS =
            2600; // longer than a server counts as recently heard from, shorter than surplus connections are kept
    private static final long DROPPED_AFTER_MS = 1000;
    private static final int WARM_UP_REQUESTS = 20;

    /** What a server does with idle connections. */
    enum IdleTreatment {
        CLOSED,
        RESET,
        RESET_AT_NEXT_QUERY,
        SILENT
    }

    private static void endQuietPeriod(FakeDatabaseServer server, IdleTreatment how) throws Exception {
        switch (how) {
            case CLOSED -> server.closeConnections(false);
            case RESET -> server.closeConnections(true);
            case SILENT -> server.dropsSilently = true;
            default -> {}
        }
    }

    private static void dropIdle(FakeDatabaseServer server, IdleTreatment how) {
        server.dropsSilently = how == IdleTreatment.SILENT;
        server.idleResetAfterMs = how == IdleTreatment.CLOSED || how == IdleTreatment.RESET ? 0 : DROPPED_AFTER_MS;
    }

    private static void quietPeriod(GatewayTestFixture fixture, IdleTreatment how) throws Exception {
        for (FakeDatabaseServer server : fixture.servers.values()) {
            dropIdle(server, how);
        }
        Thread.sleep(QUIET_MS); // the quiet period itself
        for (FakeDatabaseServer server : fixture.servers.values()) {
            endQuietPeriod(server, how);
        }
    }

    private static void warmUp(GatewayTestFixture fixture, TestClient client) throws Exception {
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            assertThat(fixture.readWithRetries(client)).as(fixture::log).isEqualTo(ROW_7);
            assertThat(client.sendQuery(fixture.queryText("order")).readResponse())
                    .as(fixture::log)
                    .isEqualTo(ROW_7);
        }
    }

    /** Leaves this many idle connections to the primary by concurrent writes, and returns the clients of the writes. */
    private static List<TestClient> idleConnections(GatewayTestFixture fixture, int count) throws Exception {
        FakeDatabaseServer primary = fixture.servers.get("p");
        primary.answersWrites = false;
        List<TestClient> clients = new ArrayList<>();
        List<ReceivedQuery> inFlight = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(fixture.connect().sendQuery(fixture.queryText("order")));
            inFlight.add(primary.nextQuery());
        }
        for (int i = 0; i < count; i++) {
            inFlight.get(i).sendRow(new byte[] {7});
        }
        for (TestClient client : clients) {
            assertThat(client.readResponse()).as(fixture::log).isEqualTo(ROW_7);
        }
        primary.answersWrites = true;
        return clients;
    }

    @ParameterizedTest
    @EnumSource(IdleTreatment.class)
    void theFirstReadAfterAQuietPeriodIsAnsweredInTime(IdleTreatment how) throws Exception {
        try (GatewayTestFixture fixture =
                new GatewayTestFixture("p", "r1").answerReads().start()) {
            fixture.servers.get("p").answersWrites = true;
            TestClient client = fixture.connect();
            warmUp(fixture, client);
            for (int round = 0; round < 3; round++) {
                quietPeriod(fixture, how);
                long sentNanos = System.nanoTime();
                assertThat(client.sendQuery(fixture.queryText("quick", 900)).readResponse())
                        .as("round %d:\n%s", round, fixture.log())
                        .isEqualTo(ROW_7);
                assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos))
                        .as(fixture::log)
                        .isLessThan(900);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(IdleTreatment.class)
    void theFirstNonIdempotentWritesAfterAQuietPeriodSucceedAndRunOnce(IdleTreatment how) throws Exception {
        try (GatewayTestFixture fixture =
                new GatewayTestFixture("p").answerReads().start()) {
            FakeDatabaseServer primary = fixture.servers.get("p");
            primary.answersWrites = true;
            warmUp(fixture, fixture.connect());
            List<TestClient> clients = idleConnections(fixture, 3);
            primary.answersWrites = false;
            try (AnsweringServer answers = new AnsweringServer(primary, query -> query.sendRow(new byte[] {7}))) {
                quietPeriod(fixture, how);
                for (TestClient client : clients) {
                    client.sendQuery(fixture.queryText("order", 4000));
                }
                for (TestClient client : clients) {
                    assertThat(client.readResponse()).as(fixture::log).isEqualTo(ROW_7);
                }
                assertThat(answers.queries).doesNotHaveDuplicates().hasSize(clients.size());
            }
        }
    }
}
