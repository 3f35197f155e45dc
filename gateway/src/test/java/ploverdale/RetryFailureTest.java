package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Attempts that fail as soon as they are made, retries and hedged requests included. */
@Timeout(120)
class RetryFailureTest {
    private static final String ROW_7 = "row 07 ready";
    private static final int ATTEMPTS_MOST = 4; // sendCap of the stand-in's settings
    private static final int REQUESTS = 12;
    private static final long RECOVERS_WITHIN_MS = 10_000;
    private static final long READ_TIME_MS = 900;
    private static final long WRITE_TIME_MS = 2500; // a class whose latency has not been learnt is taken for slow
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

    private static List<AnsweringServer> failing(GatewayTestFixture net, Failure failure) {
        List<AnsweringServer> all = new ArrayList<>();
        for (FakeDatabaseServer server : net.servers.values()) {
            all.add(new AnsweringServer(server, failure::reply));
        }
        return all;
    }

    @ParameterizedTest
    @EnumSource(Failure.class)
    void eachRequestIsAnsweredInTimeWithinItsAttemptsAndAWriteRunsOnce(Failure failure) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").start()) {
            List<AnsweringServer> servers = failing(net, failure);
            TestClient client = net.connect();
            for (int i = 1; i <= REQUESTS; i++) {
                boolean write = i % 2 == 0;
                long asked = System.nanoTime();
                long timeMs = write ? WRITE_TIME_MS : READ_TIME_MS;
                String answer = client.sendQuery(net.queryText(write ? "order" : "quick", timeMs))
                        .readResponse();
                assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - asked))
                        .as(net::log)
                        .isLessThan(timeMs + ANSWER_SLACK_MS);
                assertThat(answer).as(net::log).matches("(53300|58000).* ready");
                String id = Integer.toHexString(i);
                long attempts = servers.stream().mapToLong(s -> s.attempts(id)).sum();
                assertThat(attempts)
                        .as("attempts of request %s:\n%s", id, net.log())
                        .isLessThanOrEqualTo(write && failure.mayHaveRun ? 1 : ATTEMPTS_MOST);
                if (write && failure.mayHaveRun && attempts > 0) {
                    assertThat(answer)
                            .as("a write that may have run is not called harmless")
                            .startsWith("58000");
                }
            }
            servers.forEach(AnsweringServer::close);
        }
    }

    @ParameterizedTest
    @EnumSource(Failure.class)
    void serversThatHaveRecoveredServeAgainSoon(Failure failure) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").start()) {
            List<AnsweringServer> servers = failing(net, failure);
            TestClient client = net.connect();
            for (int i = 0; i < REQUESTS; i++) {
                client.sendQuery(i % 2 == 0 ? net.queryText("order", WRITE_TIME_MS) : net.queryText("quick", READ_TIME_MS))
                        .readResponse();
            }
            servers.forEach(AnsweringServer::close);
            net.servers.values().forEach(s -> s.answersWrites = true);
            net.answerReads();
            long recovered = System.nanoTime();
            for (String type : List.of("order", "quick")) {
                String answer = "";
                while (!answer.equals(ROW_7)) {
                    answer = client.sendQuery(net.queryText(type, type.equals("order") ? WRITE_TIME_MS : READ_TIME_MS))
                            .readResponse();
                    assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - recovered))
                            .as(net::log)
                            .isLessThan(RECOVERS_WITHIN_MS);
                }
            }
        }
    }
}
