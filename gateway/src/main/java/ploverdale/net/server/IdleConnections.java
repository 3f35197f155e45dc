package ploverdale.net.server;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The idle connections to all servers: picks the one to reuse, and evicts those that are idle for too long, too many, or likely to be
 * lost. Closes idle connections only; one that carries an attempt is closed by itself or by that attempt. Used on the event loop only.
 */
final class IdleConnections {
    /**
     * Idle time from which on a connection may have been forgotten by the server or the network, in tenths of a millisecond: as long as
     * a server counts as observed, after which a health check precedes the next request.
     */
    static final long LONG_IDLE = 20_000;

    /** A server that closes a connection right after an answer has done so by then, in tenths of a millisecond. */
    private static final long MIN_IDLE_BEFORE_REUSE = 50;

    /** A connection is closed when a fifth of the server's own idle timeout is left, so that the server never closes it first. */
    private static final int IDLE_TIMEOUT_MARGIN_DIVISOR = 5;

    /** While another connection to the same server is idle, the longest idle one is kept for an eighth of the usual time. */
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

    /** Removes a connection; does nothing where it is not idle. */
    void remove(ServerConnection connection) {
        connection.server().removeIdle(connection);
        longestIdleFirst.remove(connection);
    }

    /**
     * Removes and returns the connection that the next attempt uses, or null. Prefers the last used one of those that have been idle for
     * a moment, since some servers close a connection right after an answer; after a rejection that moment is required. Closes
     * connections that have been idle for as long as many that were lost when they were reused.
     */
    ServerConnection take(PooledServer server) {
        long now = context.now();
        ServerConnection best = null;
        for (ServerConnection connection : server.idleConnections()) {
            long idleTime = connection.idleTime(now);
            if (lossRate.isTooHigh(idleTime, now)) {
                connection.close();
            } else if (best == null && !connection.wasRejected() || idleTime >= MIN_IDLE_BEFORE_REUSE) {
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

    /** Closes the connection that has been idle longest, of all servers; false where none is idle. */
    boolean closeLongestIdle() {
        if (longestIdleFirst.isEmpty()) {
            return false;
        }
        longestIdle().close();
        return true;
    }

    /** Closes connections that the server would soon close, and surplus ones sooner, so that other gateways find a place. */
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

    /** A connection answered after this idle time. */
    void onReuseSucceeded(long idleTime) {
        lossRate.record(idleTime, false, context.now());
    }

    /** A connection was lost after this idle time though its server lives; closes the server's others that were idle for as long. */
    void onReuseFailed(PooledServer server, long idleTime) {
        long now = context.now();
        lossRate.record(idleTime, true, now);
        for (ServerConnection connection : server.idleConnections()) {
            if (idleTime >= LONG_IDLE && connection.idleTime(now) >= idleTime) {
                connection.close();
            }
        }
    }
}
