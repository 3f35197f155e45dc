package ploverdale;

import ploverdale.clock.Clock;

/** A clock whose wall clock tests can step at any time; its monotonic readings are those of the system. */
final class SteppedClock implements Clock {
    private final long initialErrorMs;
    private volatile long wallErrorMs;

    private SteppedClock(long initialErrorMs) {
        this.initialErrorMs = initialErrorMs;
        wallErrorMs = initialErrorMs;
    }

    /** Returns a clock whose wall clock is correct until the first step. */
    static SteppedClock correct() {
        return new SteppedClock(0);
    }

    /** Returns the clock of a process that started while its wall clock was wrong by this; positive if it was ahead. */
    static SteppedClock startedWithError(long errorMs) {
        return new SteppedClock(errorMs);
    }

    /** Steps the wall clock, forward if the argument is positive. */
    void step(long ms) {
        wallErrorMs += ms;
    }

    @Override
    public long now() {
        return Clock.system().now() + initialErrorMs * 10;
    }

    @Override
    public long wallMs() {
        return Clock.system().wallMs() + wallErrorMs;
    }

    @Override
    public long nanos() {
        return Clock.system().nanos();
    }
}
