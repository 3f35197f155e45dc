package ploverdale.shutdown;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ploverdale.shutdown.GracefulShutdown.Phase;

/**
 * The phases of a graceful shutdown with short deadlines. The process is killed 0.7 s plus the longest deadline after
 * SIGTERM; here the deadlines are 50 to 400 ms.
 */
class ShortDeadlinesTest {
    private static final long MIN_SERVING_MS = 500;
    private static final long PAUSE_MS = 150; // a process pause that may occur at any moment

    @ParameterizedTest
    @ValueSource(longs = {750, 900, 1000, 1100})
    void servesForHalfASecondBeforeRequestsMustBeAnswered(long killedAfterMs) {
        GracefulShutdown shutdown = new GracefulShutdown(killedAfterMs, 100);
        for (long ms = 0; ms < MIN_SERVING_MS; ms += 10) {
            shutdown.onRequest(ms);
            assertThat(shutdown.phaseAt(ms, 20, 2)).as("after %d ms", ms).isEqualTo(Phase.SERVING);
        }
        assertThat(shutdown.answerByMs()).isGreaterThanOrEqualTo(MIN_SERVING_MS);
    }

    @ParameterizedTest
    @ValueSource(longs = {750, 900, 1000, 1100})
    void requestsMustBeAnsweredMoreThanAProcessPauseBeforeTheKill(long killedAfterMs) {
        assertThat(new GracefulShutdown(killedAfterMs, 100).answerByMs()).isLessThan(killedAfterMs - PAUSE_MS);
    }

    @ParameterizedTest
    @ValueSource(longs = {750, 900, 1000, 1100, 3700})
    void exitsMoreThanAProcessPauseBeforeTheKillIfNothingIsInFlight(long killedAfterMs) {
        GracefulShutdown shutdown = new GracefulShutdown(killedAfterMs, 100);
        assertThat(shutdown.phaseAt(killedAfterMs - PAUSE_MS - 30, 20, 0)).isEqualTo(Phase.FINISHED);
    }

    @ParameterizedTest
    @ValueSource(longs = {750, 900, 1000, 1100, 3700})
    void answersRequestsThatWereReadBeforeItExits(long killedAfterMs) {
        GracefulShutdown shutdown = new GracefulShutdown(killedAfterMs, 100);
        assertThat(shutdown.phaseAt(killedAfterMs - 100, 20, 1)).isEqualTo(Phase.ANSWERING);
        assertThat(shutdown.phaseAt(killedAfterMs - 99, 20, 0)).isEqualTo(Phase.FINISHED);
        assertThat(shutdown.phaseAt(killedAfterMs - 20, 20, 1)).isEqualTo(Phase.FINISHED);
    }
}
