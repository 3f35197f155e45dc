package ploverdale.net.eventloop;

import ploverdale.clock.Clock;

/**
 * Measures the lag of the event loop by a timer that fires at a fixed interval. Times are tenths of a millisecond. Used
 * on the event loop only.
 */
final class LoopLag {
    /** The interval of the timer that calls {@link #onTick}, in milliseconds. */
    static final long TICK_MS = 10;

    private static final long TICK = TICK_MS * 10;
    private static final long TOLERATED_TICKS = 3; // shorter delays are ordinary jitter

    private final Clock clock;
    private long lastTick;
    private long previousTick;

    LoopLag(Clock clock) {
        this.clock = clock;
        lastTick = clock.now();
        previousTick = lastTick;
    }

    /** Called when the timer fires. */
    void onTick() {
        previousTick = lastTick;
        lastTick = clock.now();
    }

    /** Returns when the timer fired last; the time of creation if it has not fired yet. */
    long lastTick() {
        return lastTick;
    }

    /** Returns the time between the last two times that the timer fired. */
    long lastInterval() {
        return lastTick - previousTick;
    }

    /** Returns when the timer fired the last time but one; the time of creation if it has not fired twice yet. */
    long previousTick() {
        return previousTick;
    }

    /**
     * Returns the lag of the loop; 0 if it is on time. It is measured from the last time but one that the timer fired,
     * since after a pause the loop runs its timers once before it reads what arrived during the pause.
     */
    long lag() {
        return Math.max(0, clock.now() - previousTick - TOLERATED_TICKS * TICK);
    }
}
