package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests with 20 ms left, which servers may drop without a word. */
@Timeout(120)
class ShortDeadlineTest {
    private static final String ROW_7 = "row 07 ready";
    private static final long LEFT_MS = 20;
    private static final long ANSWER_SLACK_MS = 500; // up to which a late answer is worth nothing but is not lost
    private static final int REQUESTS = 60;
    private static final long OTHERS_MS = 9000;
    private static final int LEARNING_REQUESTS = 120; // until the gateway knows that this class takes a few ms

    private static void answerUnlessShort(ReceivedQuery query) throws IOException {
        boolean isShort = query.text().matches("(?s).*,d=(\\d|1\\d|20),.*");
        if (!isShort) {
            query.sendRow(new byte[] {7});
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"quick", "page", "order"})
    void eachIsAnsweredInTimeAndAServerThatAnswersOthersIsNotEjected(String requestClass) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").start();
                AnsweringServer primary =
                        new AnsweringServer(net.servers.get("p"), ShortDeadlineTest::answerUnlessShort);
                AnsweringServer replica =
                        new AnsweringServer(net.servers.get("r1"), ShortDeadlineTest::answerUnlessShort)) {
            TestClient client = net.connect();
            TestClient other = net.connect();
            for (int i = 0; i < LEARNING_REQUESTS; i++) {
                assertThat(other.sendQuery(net.queryText(requestClass, OTHERS_MS)).readResponse())
                        .as(net::log)
                        .isEqualTo(ROW_7);
            }
            for (int i = 0; i < REQUESTS; i++) {
                long asked = System.nanoTime();
                String answer = client.sendQuery(net.queryText(requestClass, LEFT_MS)).readResponse();
                long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - asked);
                assertThat(answer).as(net::log).matches("(53300|58000).* ready");
                assertThat(tookMs).as(net::log).isLessThan(LEFT_MS + ANSWER_SLACK_MS);
                String text = net.queryText(requestClass, OTHERS_MS);
                String id = text.replaceAll(".*id=(\\w+),.*", "$1");
                assertThat(other.sendQuery(text).readResponse())
                        .as("round %d, %d + %d attempts:\n%s", i, primary.attempts(id), replica.attempts(id), net.log())
                        .isEqualTo(ROW_7);
            }
            assertThat(primary.queries.size() + replica.queries.size())
                    .as("some were forwarded")
                    .isGreaterThan(REQUESTS);
            assertThat(net.log()).doesNotContain(" silent: ");
        }
    }
}
