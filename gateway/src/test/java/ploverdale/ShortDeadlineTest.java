package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests with a deadline of 20 ms, which servers may drop without an answer. */
@Timeout(120)
class ShortDeadlineTest {
    private static final String ROW_7 = "row 07 ready";
    private static final long SHORT_DEADLINE_MS = 20;
    private static final long ANSWER_SLACK_MS = 500; // tolerated after the deadline
    private static final int REQUESTS = 60;
    private static final long LONG_DEADLINE_MS = 9000;
    private static final int LEARNING_REQUESTS = 120; // so that the gateway learns that this class takes a few ms

    private static void answerUnlessShort(ReceivedQuery query) throws IOException {
        boolean isShort = query.text().matches("(?s).*,d=(\\d|1\\d|20),.*");
        if (!isShort) {
            query.sendRow(new byte[] {7});
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"quick", "page", "order"})
    void eachIsAnsweredInTimeAndAServerThatAnswersOtherRequestsIsNotEjected(String requestClass) throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1").start();
                AnsweringServer primary =
                        new AnsweringServer(fixture.servers.get("p"), ShortDeadlineTest::answerUnlessShort);
                AnsweringServer replica =
                        new AnsweringServer(fixture.servers.get("r1"), ShortDeadlineTest::answerUnlessShort)) {
            TestClient client = fixture.connect();
            TestClient other = fixture.connect();
            for (int i = 0; i < LEARNING_REQUESTS; i++) {
                assertThat(other.sendQuery(fixture.queryText(requestClass, LONG_DEADLINE_MS))
                                .readResponse())
                        .as(fixture::log)
                        .isEqualTo(ROW_7);
            }
            for (int i = 0; i < REQUESTS; i++) {
                long sentNanos = System.nanoTime();
                String answer = client.sendQuery(fixture.queryText(requestClass, SHORT_DEADLINE_MS))
                        .readResponse();
                long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
                assertThat(answer).as(fixture::log).matches("(53300|58000).* ready");
                assertThat(tookMs).as(fixture::log).isLessThan(SHORT_DEADLINE_MS + ANSWER_SLACK_MS);
                String text = fixture.queryText(requestClass, LONG_DEADLINE_MS);
                String id = text.replaceAll(".*id=(\\w+),.*", "$1");
                assertThat(other.sendQuery(text).readResponse())
                        .as(
                                "round %d, %d + %d attempts:\n%s",
                                i, primary.attempts(id), replica.attempts(id), fixture.log())
                        .isEqualTo(ROW_7);
            }
            assertThat(primary.queries.size() + replica.queries.size())
                    .as("some were forwarded")
                    .isGreaterThan(REQUESTS);
            assertThat(fixture.log()).doesNotContain(" silent: ");
        }
    }
}
