package ploverdale.net.client;

import java.util.concurrent.TimeUnit;
import ploverdale.clock.Clock;
import ploverdale.log.Log;

/**
 * Measures how long the event loop runs the input of one client without a break, during which nothing else is read,
 * written or timed. Used on the event loop only.
 */
final class InputTimes {
    /** Longer runs are logged: less than half of the time for which the loop must never stand still (50 ms). */
    private static final long LOGGED_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final Log log;
    private final Clock clock;
    private long beganAtNanos;

    InputTimes(Log log, Clock clock) {
        this.log = log;
        this.clock = clock;
    }

    /** Called before the input of a client is run. */
    void begin() {
        beganAtNanos = clock.nanos();
    }

    /**
     * Called after the input of a client was run.
     *
     * @param bytes how many bytes had been received from the client
     */
    void end(int bytes) {
        long nanos = clock.nanos() - beganAtNanos;
        if (nanos > LOGGED_NANOS) {
            log.rateLimited(
                    "long input of a client",
                    TimeUnit.NANOSECONDS.toMillis(nanos) + " ms for " + bytes + " bytes"); // log line: on-call guide
        }
    }
}
