package ploverdale.routing;

import ploverdale.model.LoadReport;
import ploverdale.model.Ticks;

/**
 * Whether servers are short of connections: one answers health checks but refuses further connections. Then idle connections are
 * closed for others to use, since a handshake costs less than a request that finds no connection.
 */
final class ConnectionScarcity {
    private static final long LASTS = Ticks.ofMillis(10_000);

    private long until = LoadReport.UNKNOWN_TIME;

    /** A server was found to be short of connections. */
    void begin(long now) {
        until = now + LASTS;
    }

    /** Whether idle connections are to be closed. */
    boolean isActive(long now) {
        return now < until;
    }
}
