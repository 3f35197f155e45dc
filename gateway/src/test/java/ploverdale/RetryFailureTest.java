package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Every attempt fails at once, retries and hedged requests included. */
@Timeout(120)
class RetryFailureTest {
    private static final String ROW_7 = "row 07 ready";
    private static final int MAX_ATTEMPTS = 4; // sendCap of the test configuration
    private static final int REQUESTS = 12;
    private static final long RECOVERS_WITHIN_MS = 10_000;
    private static final long READ_DEADLINE_MS = 900;
    private static final long WRITE_DEADLINE_MS = 2500; // long, since a class of unknown latency is assumed to be slow
    private static final long ANSWER_SLACK_MS = 500;

    /** How each attempt fails. */
    enum Failure {
        ERROR("XX000", true),
        REJECTED("53300", false),
        TOO_FAR_BEHIND("72000", false),
        RESET(null, true);

        private final String code;
        private final boolean mayHaveRun;

        Failure(String code, boolean mayHaveRun) {
            this.code = code;
            this.mayHaveRun = mayHaveRun;
        }

        private void reply(ReceivedQuery query) throws java.io.IOException {
            if (code == null) {
                query.resetConnection();
            } else {
                query.sendError(code);
            }
        }
    }

    private static List<AnsweringServer> failing(GatewayTestFixture fixture, Failure failure) {
        List<AnsweringServer> servers = new ArrayList<>();
        for (FakeDatabaseServer server : fixture.servers.values()) {
            servers.add(new AnsweringServer(server, failure::reply));
        }
        return servers;
    }

    @ParameterizedTest
    @EnumSource(Failure.class)
    void eachRequestIsAnsweredInTimeWithinItsAttemptLimitAndAWriteRunsOnce(Failure failure) throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1", "r2").start()) {
            List<AnsweringServer> servers = failing(fixture, failure);
            TestClient client = fixture.connect();
            for (int i = 1; i <= REQUESTS; i++) {
                boolean write = i % 2 == 0;
                long sentNanos = System.nanoTime();
                long deadlineMs = write ? WRITE_DEADLINE_MS : READ_DEADLINE_MS;
                String answer = client.sendQuery(fixture.queryText(write ? "order" : "quick", deadlineMs))
                        .readResponse();
                assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos))
                        .as(fixture::log)
                        .isLessThan(deadlineMs + ANSWER_SLACK_MS);
                assertThat(answer).as(fixture::log).matches("(53300|58000).* ready");
                String id = Integer.toHexString(i);
                long attempts = servers.stream().mapToLong(s -> s.attempts(id)).sum();
                assertThat(attempts)
                        .as("attempts of request %s:\n%s", id, fixture.log())
                        .isLessThanOrEqualTo(write && failure.mayHaveRun ? 1 : MAX_ATTEMPTS);
                if (write && failure.mayHaveRun && attempts > 0) {
                    assertThat(answer)
                            .as("a write that may have run is not reported as safe to retry")
                            .startsWith("58000");
                }
            }
            servers.forEach(AnsweringServer::close);
        }
    }

    @ParameterizedTest
    @EnumSource(Failure.class)
    void recoveredServersServeAgainSoon(Failure failure) throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1", "r2").start()) {
            List<AnsweringServer> servers = failing(fixture, failure);
            TestClient client = fixture.connect();
            for (int i = 0; i < REQUESTS; i++) {
                client.sendQuery(
                                i % 2 == 0
                                        ? fixture.queryText("order", WRITE_DEADLINE_MS)
                                        : fixture.queryText("quick", READ_DEADLINE_MS))
                        .readResponse();
            }
            servers.forEach(AnsweringServer::close);
            fixture.servers.values().forEach(s -> s.answersWrites = true);
            fixture.answerReads();
            long recoveredNanos = System.nanoTime();
            for (String type : List.of("order", "quick")) {
                String answer = "";
                while (!answer.equals(ROW_7)) {
                    answer = client.sendQuery(fixture.queryText(
                                    type, type.equals("order") ? WRITE_DEADLINE_MS : READ_DEADLINE_MS))
                            .readResponse();
                    assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - recoveredNanos))
                            .as(fixture::log)
                            .isLessThan(RECOVERS_WITHIN_MS);
                }
            }
        }
    }
}
