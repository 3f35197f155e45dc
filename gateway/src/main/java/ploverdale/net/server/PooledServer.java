package ploverdale.net.server;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import ploverdale.model.ServerId;

/**
 * The pool's record of one server: its address, its idle connections and the attempts that wait for a connection.
 * Closes no connection and completes no attempt itself. Used on the event loop only.
 */
final class PooledServer {
    private final ServerId id;
    private final Deque<ServerConnection> idleConnections = new ArrayDeque<>(); // longest idle first
    private final Set<Attempt> waitingAttempts = new LinkedHashSet<>(); // in order of arrival
    private InetSocketAddress address;

    PooledServer(ServerId id) {
        this.id = id;
    }

    /** Returns the server's id; never null. */
    ServerId id() {
        return id;
    }

    /** Returns the address for new connections; null until the endpoint list contains one. */
    InetSocketAddress address() {
        return address;
    }

    /** Sets the address for new connections. */
    void setAddress(InetSocketAddress address) {
        this.address = address;
    }

    /**
     * Returns a copy of the idle connections, longest idle first. The copy may be iterated over while connections are
     * closed.
     */
    List<ServerConnection> idleConnections() {
        return List.copyOf(idleConnections);
    }

    /** Returns the number of idle connections. */
    int idleCount() {
        return idleConnections.size();
    }

    /** Returns the connection that has been idle longest, or null if none is idle. */
    ServerConnection longestIdle() {
        return idleConnections.peekFirst();
    }

    /** Adds a connection that has just become idle. */
    void addIdle(ServerConnection connection) {
        idleConnections.addLast(connection);
    }

    /** Removes a connection; does nothing if it is not idle. */
    void removeIdle(ServerConnection connection) {
        idleConnections.remove(connection);
    }

    /** Adds an attempt for which there was no idle connection. */
    void addWaiting(Attempt attempt) {
        waitingAttempts.add(attempt);
    }

    /** Removes an attempt; does nothing if it is not waiting. */
    void removeWaiting(Attempt attempt) {
        waitingAttempts.remove(attempt);
    }

    /** Returns the attempt that has waited longest, or null if none is waiting. */
    Attempt firstWaiting() {
        return waitingAttempts.stream().findFirst().orElse(null);
    }
}
