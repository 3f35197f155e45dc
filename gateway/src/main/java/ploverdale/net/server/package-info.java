/**
 * Owns the connections to database servers: opens, reuses and closes them, writes each attempt at a request and each health check
 * once, and reports how it ended. {@link ploverdale.net.server.ServerConnectionPool} is the entry point. Never chooses a server, repeats
 * a request, writes what nobody asked for, or lets a late answer reach another request: giving up an attempt closes its connection.
 *
 * <p>Everything runs on the gateway's event loop, and nothing is synchronized. Times are tenths of a millisecond of service time unless
 * the name says otherwise.
 */
package ploverdale.net.server;
