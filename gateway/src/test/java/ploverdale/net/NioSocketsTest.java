package ploverdale.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The last look at a connection before its output ends. */
class NioSocketsTest {
    private long now;
    private int reads;

    private void readsFor(long... millis) {
        NioSockets.readUndisturbed(
                () -> {
                    now += TimeUnit.MILLISECONDS.toNanos(reads < millis.length ? millis[reads] : 0);
                    reads++;
                },
                () -> now);
    }

    @Test
    void aLookThatAPauseOfTheProcessInterruptedIsRepeated() {
        readsFor(150, 0);
        assertThat(reads).isEqualTo(2);
    }

    @Test
    void aLookThatNothingInterruptedIsNotRepeated() {
        readsFor(0);
        assertThat(reads).isEqualTo(1);
    }

    @Test
    void aLookIsNotRepeatedWithoutEnd() {
        readsFor(150, 150, 150, 150, 150, 150);
        assertThat(reads).isEqualTo(3);
    }
}
