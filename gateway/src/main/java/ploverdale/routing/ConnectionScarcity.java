package ploverdale.routing;

import ploverdale.model.LoadReport;
import ploverdale.model.Ticks;

/**
 * Tracks whether servers are short of connections: one answers health checks but refuses new connections. While they
 * are, idle connections are closed so that others can use them; a handshake costs less than a request that finds no
 * connection.
 */
final class ConnectionScarcity {
    /** How long the shortage is assumed to last after it was last observed. */
    private static final long ASSUMED_DURATION = Ticks.ofMillis(10_000);

    private long until = LoadReport.UNKNOWN_TIME;

    /** Records that a server is short of connections. */
    void begin(long now) {
        until = now + ASSUMED_DURATION;
    }

    /** Returns whether idle connections have to be closed. */
    boolean isActive(long now) {
        return now < until;
    }
}
