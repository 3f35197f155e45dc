/**
 * Owns the connections to database servers: opens, reuses and closes them, writes each attempt at a request and each
 * health check once, and reports its result. {@link ploverdale.net.server.ServerConnectionPool} is the entry point.
 * Never chooses a server and never repeats a request. A late answer cannot reach another request, since abandoning an
 * attempt closes its connection.
 *
 * <p>Everything runs on the gateway's event loop, and nothing is synchronized. Times are service time in ticks (tenths
 * of a millisecond) unless a name states another unit.
 */
package ploverdale.net.server;
