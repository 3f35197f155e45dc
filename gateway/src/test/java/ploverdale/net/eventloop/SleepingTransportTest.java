package ploverdale.net.eventloop;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/**
 * Checks that the selector sleeps until the next timer instead of polling, and that after a pause the loop reads what
 * has arrived before timers run.
 */
class SleepingTransportTest {
    @Test
    void aWaitForATimerIsRoundedUpToWholeMilliseconds() {
        // Netty would round 0.4 ms down to 0 and poll, and round 9.4 ms down to 9 ms and then poll.
        assertThat(SleepingTransport.roundUpToMs(400_000)).isEqualTo(1_000_000);
        assertThat(SleepingTransport.roundUpToMs(1)).isEqualTo(1_000_000);
        assertThat(SleepingTransport.roundUpToMs(9_400_000)).isEqualTo(10_000_000);
        assertThat(SleepingTransport.roundUpToMs(9_000_000)).isEqualTo(9_000_000);
    }

    @Test
    void dueTimersAndTheAbsenceOfATimerAreNotRounded() {
        assertThat(SleepingTransport.roundUpToMs(0)).isZero();
        assertThat(SleepingTransport.roundUpToMs(-5)).isEqualTo(-5);
        assertThat(SleepingTransport.roundUpToMs(Long.MAX_VALUE)).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void aTurnDelayedByAPauseReadsAgainBeforeTimersRun() {
        FakeSelector selector = new FakeSelector(50);
        assertThat(new SleepingTransport.SleepingIoHandler(selector).run(new FakeLoop(TimeUnit.MILLISECONDS.toNanos(10))))
                .isEqualTo(2);
        assertThat(selector.mayBlock).containsExactly(true, false);
    }

    @Test
    void aTurnThatOnlyWaitedForItsTimerReadsOnce() {
        FakeSelector selector = new FakeSelector(50);
        assertThat(new SleepingTransport.SleepingIoHandler(selector).run(new FakeLoop(TimeUnit.SECONDS.toNanos(30))))
                .isEqualTo(1);
        assertThat(selector.mayBlock).containsExactly(true);
    }

    /** A fake selector whose first turn takes a given time, and whose other turns take none. */
    private static final class FakeSelector implements IoHandler {
        private final long firstTurnMs;
        private final List<Boolean> mayBlock = new ArrayList<>();

        private FakeSelector(long firstTurnMs) {
            this.firstTurnMs = firstTurnMs;
        }

        @Override
        public int run(IoHandlerContext loop) {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mayBlock.isEmpty() ? firstTurnMs : 0);
            mayBlock.add(loop.canBlock());
            while (System.nanoTime() < end) {
                LockSupport.parkNanos(end - System.nanoTime());
            }
            return 1;
        }

        @Override
        public IoRegistration register(IoHandle handle) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void wakeup() {}

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return false;
        }
    }

    /** A fake loop whose next timer is due after the given number of nanoseconds. */
    private record FakeLoop(long nanosUntilTimer) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return true;
        }

        @Override
        public long delayNanos(long now) {
            return nanosUntilTimer;
        }

        @Override
        public long deadlineNanos() {
            return nanosUntilTimer;
        }
    }
}
