package ploverdale.net.server;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Holds the idle connections to all servers: picks the one to reuse, and evicts those that have been idle for too long,
 * exceed the number needed, or are probably lost. Closes idle connections only; a connection that carries an attempt is
 * closed by itself or by that attempt. Used on the event loop only.
 */
final class IdleConnections {
    /**
     * Idle time after which the server or the network may have dropped a connection, in tenths of a millisecond (2 s).
     * It equals the time for which an observation of a server is valid; after that, a health check precedes the next
     * request.
     */
    static final long LONG_IDLE_TICKS = 20_000;

    /**
     * Idle time after which a connection is preferred for reuse, in tenths of a millisecond (5 ms). A server that
     * closes a connection right after an answer has done so by then.
     */
    private static final long MIN_IDLE_BEFORE_REUSE_TICKS = 50;

    /** A connection is closed a fifth of the server's idle timeout early, so that the server never closes it first. */
    private static final int IDLE_TIMEOUT_MARGIN_DIVISOR = 5;

    /**
     * While a server has several idle connections, the one idle longest is kept for an eighth of the usual time only.
     */
    private static final int SURPLUS_IDLE_DIVISOR = 8;

    private final PoolContext context;
    private final Set<ServerConnection> longestIdleFirst = new LinkedHashSet<>();
    private final IdleConnectionLossRate lossRate = new IdleConnectionLossRate();

    IdleConnections(PoolContext context) {
        this.context = context;
    }

    /** Adds a connection that carries no attempt. */
    void add(ServerConnection connection) {
        connection.startIdling(context.now());
        connection.server().addIdle(connection);
        longestIdleFirst.add(connection);
    }

    /** Removes a connection; does nothing if it is not idle. */
    void remove(ServerConnection connection) {
        connection.server().removeIdle(connection);
        longestIdleFirst.remove(connection);
    }

    /**
     * Removes and returns the idle connection that the next attempt to the server uses, or null if there is none.
     * Prefers the most recently used connection among those that have been idle for at least 5 ms, since some servers
     * close a connection right after an answer; a connection on which the last attempt was rejected is not reused
     * earlier. Closes connections whose idle time has a high loss rate.
     */
    ServerConnection take(PooledServer server) {
        long now = context.now();
        ServerConnection best = null;
        for (ServerConnection connection : server.idleConnections()) {
            long idleTime = connection.idleTime(now);
            if (lossRate.isTooHigh(idleTime, now)) {
                connection.close();
            } else if (best == null && !connection.wasRejected() || idleTime >= MIN_IDLE_BEFORE_REUSE_TICKS) {
                best = connection;
            }
        }
        if (best != null) {
            remove(best);
        }
        return best;
    }

    /** Closes all idle connections to the server. */
    void closeAll(PooledServer server) {
        server.idleConnections().forEach(ServerConnection::close);
    }

    /** Closes the connection to any server that has been idle longest; returns false if no connection is idle. */
    boolean closeLongestIdle() {
        if (longestIdleFirst.isEmpty()) {
            return false;
        }
        longestIdle().close();
        return true;
    }

    /**
     * Closes connections that the server would soon close. Closes surplus connections earlier, so that the server has
     * capacity for connections of other gateways.
     */
    void closeExpired(Collection<PooledServer> servers) {
        long serverTimeout = context.settings().idleLimit();
        long maxIdleTime = serverTimeout - serverTimeout / IDLE_TIMEOUT_MARGIN_DIVISOR;
        long now = context.now();
        while (!longestIdleFirst.isEmpty() && longestIdle().idleTime(now) > maxIdleTime) {
            longestIdle().close();
        }
        for (PooledServer server : servers) {
            closeSurplus(server, maxIdleTime / SURPLUS_IDLE_DIVISOR, now);
        }
    }

    private static void closeSurplus(PooledServer server, long maxIdleTime, long now) {
        while (server.idleCount() > 1 && server.longestIdle().idleTime(now) > maxIdleTime) {
            server.longestIdle().close();
        }
    }

    private ServerConnection longestIdle() {
        return longestIdleFirst.iterator().next();
    }

    /** Called when a connection that was reused after this idle time has received an answer. */
    void onReuseSucceeded(long idleTime) {
        lossRate.record(idleTime, false, context.now());
    }

    /**
     * Called when a connection that was reused after this idle time was lost although its server is reachable. If the
     * idle time was long, closes the server's connections that have been idle for at least as long.
     */
    void onReuseFailed(PooledServer server, long idleTime) {
        long now = context.now();
        lossRate.record(idleTime, true, now);
        for (ServerConnection connection : server.idleConnections()) {
            if (idleTime >= LONG_IDLE_TICKS && connection.idleTime(now) >= idleTime) {
                connection.close();
            }
        }
    }
}
