package ploverdale.net.eventloop;

import ploverdale.clock.Clock;

/**
 * Measures by how much the event loop is late, from a timer that fires at a fixed interval. Times are tenths of a
 * millisecond. Used on the event loop only.
 */
final class LoopLag {
    /** The interval of the timer that is to call {@link #onTick}, in milliseconds. */
    static final long TICK_MS = 10;

    private static final long TICK = TICK_MS * 10;
    private static final long TOLERATED_TICKS = 3; // since the tick before the last; fewer are ordinary jitter

    private final Clock clock;
    private long lastTick;
    private long previousTick;

    LoopLag(Clock clock) {
        this.clock = clock;
        lastTick = clock.now();
        previousTick = lastTick;
    }

    /** Takes note that the timer has fired. */
    void onTick() {
        previousTick = lastTick;
        lastTick = clock.now();
    }

    /** When the timer fired last, or the time of creation. */
    long lastTick() {
        return lastTick;
    }

    /** The time from the tick before the last to the last one. */
    long lastInterval() {
        return lastTick - previousTick;
    }

    /** When the timer fired the time before the last, or the time of creation. */
    long previousTick() {
        return previousTick;
    }

    /**
     * For how long the loop did not run, 0 where it is on time. It counts from the tick before the last, since after a pause
     * the loop runs its timers once before it reads what arrived during the pause.
     */
    long lag() {
        return Math.max(0, clock.now() - previousTick - TOLERATED_TICKS * TICK);
    }
}
