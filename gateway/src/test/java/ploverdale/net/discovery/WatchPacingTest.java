package ploverdale.net.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the pauses between watches of discovery. */
class WatchPacingTest {
    @ParameterizedTest
    @CsvSource({
        "2000, 0, 0", // held as requested
        "51, 0, 0",
        "10, 0, 40", // answered early: the rest of the interval
        "0, 0, 50",
        "2000, 20, 80", // a large list
        "10, 5, 40",
        "2000, 300, 100" // never so long that the agent takes the next call for a new watch
    })
    void watchIsPausedAfterAnEarlyOrALargeAnswer(long intervalMs, long handlingMs, long pauseMs) {
        assertThat(WatchPacing.pauseMs(intervalMs, handlingMs)).isEqualTo(pauseMs);
    }
}
