package ploverdale.net.server;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import ploverdale.model.ServerId;

/**
 * One server's address, idle connections and waiting attempts, as the pool keeps them. Closes and completes nothing itself. Used on
 * the event loop only.
 */
final class PooledServer {
    private final ServerId id;
    private final Deque<ServerConnection> idleConnections = new ArrayDeque<>(); // the one idle longest first
    private final Set<Attempt> waitingAttempts = new LinkedHashSet<>(); // in order of arrival
    private InetSocketAddress address;

    PooledServer(ServerId id) {
        this.id = id;
    }

    /** The server's id, never null. */
    ServerId id() {
        return id;
    }

    /** Where new connections go; null until the endpoint list names an address. */
    InetSocketAddress address() {
        return address;
    }

    /** Sets where new connections go. */
    void setAddress(InetSocketAddress address) {
        this.address = address;
    }

    /** A copy, the one idle longest first; connections may be closed while it is iterated over. */
    List<ServerConnection> idleConnections() {
        return List.copyOf(idleConnections);
    }

    /** Number of idle connections. */
    int idleCount() {
        return idleConnections.size();
    }

    /** The connection that has been idle longest, or null. */
    ServerConnection longestIdle() {
        return idleConnections.peekFirst();
    }

    /** Adds a connection that has just become idle. */
    void addIdle(ServerConnection connection) {
        idleConnections.addLast(connection);
    }

    /** Removes a connection; does nothing where it is not idle. */
    void removeIdle(ServerConnection connection) {
        idleConnections.remove(connection);
    }

    /** Adds an attempt that found no idle connection. */
    void addWaiting(Attempt attempt) {
        waitingAttempts.add(attempt);
    }

    /** Removes an attempt; does nothing where it does not wait. */
    void removeWaiting(Attempt attempt) {
        waitingAttempts.remove(attempt);
    }

    /** The attempt that has waited longest, or null. */
    Attempt firstWaiting() {
        return waitingAttempts.stream().findFirst().orElse(null);
    }
}
