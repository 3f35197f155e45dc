package ploverdale.net.server;

import io.vertx.core.Vertx;
import ploverdale.clock.ServerClock;
import ploverdale.log.Log;
import ploverdale.settings.GatewaySettings;

/**
 * The objects that the parts of a {@link ServerConnectionPool} share. No component is null. Used on the event loop
 * only.
 */
record PoolContext(Vertx vertx, Log log, GatewaySettings settings, ServerClock clock) {
    private static final int TICKS_PER_MS = 10;

    /** Returns the service time, in tenths of a millisecond. */
    long now() {
        return clock.now();
    }

    /** Converts ticks to milliseconds for a timer, rounded up so that the timer never fires early. */
    static long toMsRoundedUp(long ticks) {
        return (ticks + TICKS_PER_MS - 1) / TICKS_PER_MS;
    }

    /** Converts ticks to milliseconds, rounded towards zero. */
    static long toMsRoundedDown(long ticks) {
        return ticks / TICKS_PER_MS;
    }
}
