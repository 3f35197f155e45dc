package ploverdale.net.client;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests for how long, and how many, ids of executed requests are remembered. */
class ExecutedRequestsTest {
    private final ExecutedRequests executed = new ExecutedRequests();

    private static String id(int number) {
        return "id" + number;
    }

    @Test
    void anIdIsRememberedForTheRetention() {
        executed.add(id(1), 1000);
        assertThat(executed.contains(id(1), 1000)).isTrue();
        assertThat(executed.contains(id(1), 1000 + ExecutedRequests.RETENTION_MS))
                .isTrue();
        assertThat(executed.contains(id(1), 1001 + ExecutedRequests.RETENTION_MS))
                .isFalse();
        assertThat(executed.contains(id(2), 1000)).isFalse();
    }

    @Test
    void beyondTheLimitTheIdThatWasExecutedFirstIsForgotten() {
        executed.add(id(0), 0);
        for (int i = 1; i < ExecutedRequests.MAX_IDS; i++) {
            executed.add(id(i), i);
        }
        executed.add(id(0), ExecutedRequests.MAX_IDS); // executed again, so id 1 is now the oldest
        executed.add(id(ExecutedRequests.MAX_IDS), ExecutedRequests.MAX_IDS);
        assertThat(executed.contains(id(0), ExecutedRequests.MAX_IDS)).isTrue();
        assertThat(executed.contains(id(1), ExecutedRequests.MAX_IDS)).isFalse();
        assertThat(executed.contains(id(2), ExecutedRequests.MAX_IDS)).isTrue();
    }
}
