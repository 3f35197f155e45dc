package ploverdale.net.eventloop;

import ploverdale.clock.Clock;

/**
 * Measures the lag of the event loop by a timer that fires at a fixed interval. Times are tenths of a millisecond. Used
 * on the event loop only.
 */
final class LoopLag {
    /** The interval of the timer that calls {@link #onTimer}, in milliseconds. */
    static final long SAMPLING_INTERVAL_MS = 10;

    private static final long SAMPLING_INTERVAL_TICKS = SAMPLING_INTERVAL_MS * 10;
    private static final long TOLERATED_INTERVALS = 3; // shorter delays are ordinary jitter

    private final Clock clock;
    private long lastFiredAt;
    private long previousFiredAt;

    LoopLag(Clock clock) {
        this.clock = clock;
        lastFiredAt = clock.now();
        previousFiredAt = lastFiredAt;
    }

    /** Called when the timer fires. */
    void onTimer() {
        previousFiredAt = lastFiredAt;
        lastFiredAt = clock.now();
    }

    /** Returns when the timer fired last; the time of creation if it has not fired yet. */
    long lastFiredAt() {
        return lastFiredAt;
    }

    /** Returns the time between the last two times that the timer fired. */
    long lastInterval() {
        return lastFiredAt - previousFiredAt;
    }

    /** Returns when the timer fired the last time but one; the time of creation if it has not fired twice yet. */
    long previousFiredAt() {
        return previousFiredAt;
    }

    /**
     * Returns the lag of the loop; 0 if it is on time. It is measured from the last time but one that the timer fired,
     * since after a pause the loop runs its timers once before it reads what arrived during the pause.
     */
    long lag() {
        return Math.max(0, clock.now() - previousFiredAt - TOLERATED_INTERVALS * SAMPLING_INTERVAL_TICKS);
    }
}
