package ploverdale.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SleepingTransportTest {
    @Test
    void aWaitForATimerIsRoundedUpSoThatNothingIsPolledBeforeIt() {
        assertThat(SleepingTransport.wholeMs(400_000)).isEqualTo(1_000_000); // the selector would make this 0, a poll
        assertThat(SleepingTransport.wholeMs(1)).isEqualTo(1_000_000);
        assertThat(SleepingTransport.wholeMs(9_400_000)).isEqualTo(10_000_000); // and this 9, and a poll
        assertThat(SleepingTransport.wholeMs(9_000_000)).isEqualTo(9_000_000);
    }

    @Test
    void whatIsDueAndWhatNeverIsStayAsTheyAre() {
        assertThat(SleepingTransport.wholeMs(0)).isZero();
        assertThat(SleepingTransport.wholeMs(-5)).isEqualTo(-5);
        assertThat(SleepingTransport.wholeMs(Long.MAX_VALUE)).isEqualTo(Long.MAX_VALUE);
    }
}
