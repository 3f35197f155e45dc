package ploverdale;

import ploverdale.clock.Clock;

/** A clock whose wall clock a test steps, at any moment and by any span; its monotonic readings are the system's. */
final class SteppedClock implements Clock {
    private final long startedOffMs;
    private volatile long wallOffMs;

    private SteppedClock(long startedOffMs) {
        this.startedOffMs = startedOffMs;
        wallOffMs = startedOffMs;
    }

    /** One that is right so far. */
    static SteppedClock right() {
        return new SteppedClock(0);
    }

    /** The clock of a process that was started while its wall clock was off. */
    static SteppedClock startedOff(long ms) {
        return new SteppedClock(ms);
    }

    void step(long ms) {
        wallOffMs += ms;
    }

    @Override
    public long now() {
        return Clock.system().now() + startedOffMs * 10;
    }

    @Override
    public long wallMs() {
        return Clock.system().wallMs() + wallOffMs;
    }

    @Override
    public long nanos() {
        return Clock.system().nanos();
    }
}
