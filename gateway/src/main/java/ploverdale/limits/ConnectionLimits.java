package ploverdale.limits;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Tracks the connections of one gateway against its limit of file descriptors and selects the client connections to
 * evict. A client connection is pre-startup until its startup message has been read. After that it is idle, or its
 * client awaits a response; part of an incomplete message may have been received at any time. Client connections are
 * limited to a share of the descriptors, so that the gateway can always connect to servers, however many clients there
 * are. Connections to servers may also use descriptors that clients leave free. Not thread-safe.
 *
 * @param <C> type of a client connection; its instances are distinguished by {@code equals}
 */
public final class ConnectionLimits<C> {
    /** The reason for which a client connection is evicted. */
    public enum EvictionReason {
        /** Its startup message has not been received. */
        NO_STARTUP_MESSAGE,
        /** A message has been received only in part. */
        INCOMPLETE_MESSAGE,
        /** Its input is paused: its client has sent more than is run of one client before others have their turn. */
        PAUSED_INPUT,
        /** Its client awaits no response. */
        IDLE
    }

    /**
     * Selects a client connection for eviction.
     *
     * @param client the connection to close
     * @param durationMs for how long the reason has applied, in milliseconds
     */
    public record Eviction<C>(C client, EvictionReason reason, long durationMs) {
        /**
         * Returns whether the connection is evicted to free capacity, before the time limit that every client has for a
         * startup message or another message has passed.
         */
        public boolean isForCapacity() {
            return durationMs < INCOMPLETE_TIMEOUT_MS;
        }
    }

    /** Tenths of the connections that may be client connections. */
    private static final int CLIENT_SHARE_TENTHS = 7;

    /** With more clients than the maximum divided by this, those idle for {@link #IDLE_TIMEOUT_MS} are evicted. */
    private static final int MANY_CLIENTS_DIVISOR = 3;

    /**
     * With more started clients than the maximum divided by this, those idle for {@link #MIN_EVICTION_AGE_MS} are
     * evicted. Clients can use only their own share of the connections, so those that one client leaves idle prevent
     * other clients from sending requests.
     */
    private static final double CROWDED_DIVISOR = 2.2;

    /**
     * With more pre-startup connections than the maximum of clients divided by this, the oldest ones are evicted as
     * soon as they are {@link #MIN_EVICTION_AGE_MS} old.
     */
    private static final int PRE_STARTUP_DIVISOR = 3;

    /** Descriptors reserved at least for the program's own files, discovery and the listening socket. */
    private static final int MIN_RESERVED_DESCRIPTORS = 24;

    /** The reserved descriptors are the total divided by this, unless the minimum is greater. */
    private static final int RESERVED_DIVISOR = 8;

    /** The reserved descriptors divided by this may be used by connections that open while others are still closing. */
    private static final int OVERLAP_DIVISOR = 3;

    /** Time limit for a startup message or an incomplete message; these connections must be closed within 3 s. */
    private static final long INCOMPLETE_TIMEOUT_MS = 2200;

    /** Time after which an idle connection may be evicted; clients may leave a connection idle for 2 s. */
    private static final long IDLE_TIMEOUT_MS = 2100;

    /** Minimum time before an eviction for capacity, in which a newly accepted client can send its first messages. */
    private static final long MIN_EVICTION_AGE_MS = 100;

    private int maxConnections;
    private int maxClients;
    private int overlapAllowance;

    /** Pre-startup connections with the time of their acceptance, oldest first. */
    private final Map<C, Long> preStartupSince = new LinkedHashMap<>();

    /** Connections with an incomplete message and the time at which its first part was received, oldest first. */
    private final Map<C, Long> incompleteSince = new LinkedHashMap<>();

    /** Connections whose input is paused, with the time since which it has been paused, longest first. */
    private final Map<C, Long> pausedSince = new LinkedHashMap<>();

    /** Idle connections with the time since which they have been idle, longest first. */
    private final Map<C, Long> idleSince = new LinkedHashMap<>();

    private int clientConnections;
    private int serverConnections;
    private int closingConnections;

    /**
     * Creates the limits of a gateway without connections.
     *
     * @param descriptors maximum number of file descriptors of the process
     */
    public ConnectionLimits(int descriptors) {
        setMaxDescriptors(descriptors);
    }

    /** Changes the maximum number of descriptors. Connections in excess of it are closed by later evictions. */
    public void setMaxDescriptors(int descriptors) {
        int reserved = Math.max(MIN_RESERVED_DESCRIPTORS, descriptors / RESERVED_DIVISOR);
        maxConnections = descriptors - reserved;
        maxClients = maxConnections * CLIENT_SHARE_TENTHS / 10;
        overlapAllowance = reserved / OVERLAP_DIVISOR;
    }

    /** Returns the maximum number of client connections. */
    public int maxClients() {
        return maxClients;
    }

    /** Returns the number of client connections, without those that are being closed. */
    public int clientConnections() {
        return clientConnections;
    }

    /**
     * Returns by how many the connections, including those that are being closed, exceed their maximum; negative if
     * there are fewer.
     */
    public int excessConnections() {
        return clientConnections + serverConnections + closingConnections - maxConnections;
    }

    /** Returns the number of client connections whose startup message has not been read. */
    public int preStartupConnections() {
        return preStartupSince.size();
    }

    /** Returns the number of connections to servers, without those that are being closed. */
    public int serverConnections() {
        return serverConnections;
    }

    // -- State of the connections

    /** Called when a client connection has been accepted. */
    public void onClientConnected(C client, long nowMs) {
        clientConnections++;
        preStartupSince.put(client, nowMs);
    }

    /** Marks a client connection as past its startup message. It becomes idle when the response has been written. */
    public void markStarted(C client) {
        preStartupSince.remove(client);
    }

    /** Marks a client connection as idle; its idle time starts now, even if it was already idle. */
    public void markIdle(C client, long nowMs) {
        idleSince.remove(client);
        idleSince.put(client, nowMs);
    }

    /** Marks a client connection as awaiting a response, hence not idle. */
    public void markAwaitingResponse(C client) {
        idleSince.remove(client);
    }

    /** Marks a client connection as having an incomplete message; its time limit starts at the first such call. */
    public void markIncomplete(C client, long nowMs) {
        incompleteSince.putIfAbsent(client, nowMs);
        idleSince.remove(client);
    }

    /** Marks a client connection as having no incomplete message. */
    public void clearIncomplete(C client) {
        incompleteSince.remove(client);
    }

    /** Marks a client connection as paused; its paused time starts at the first such call. */
    public void markPaused(C client, long nowMs) {
        pausedSince.putIfAbsent(client, nowMs);
    }

    /** Marks a client connection as not paused. */
    public void clearPaused(C client) {
        pausedSince.remove(client);
    }

    /** Called when a client connection is being closed; its descriptor counts until {@link #onDescriptorReleased}. */
    public void onClientClosing(C client) {
        preStartupSince.remove(client);
        incompleteSince.remove(client);
        pausedSince.remove(client);
        idleSince.remove(client);
        clientConnections--;
        closingConnections++;
    }

    /** Called when a new client connection is refused; its descriptor counts until {@link #onDescriptorReleased}. */
    public void onClientRefused() {
        closingConnections++;
    }

    /** Called when a connection to a server is being opened. */
    public void onServerConnecting() {
        serverConnections++;
    }

    /**
     * Called when a connection to a server is being closed; its descriptor counts until {@link #onDescriptorReleased}.
     */
    public void onServerClosing() {
        serverConnections--;
        closingConnections++;
    }

    /** Called when the operating system has released the descriptor of a closed or refused connection. */
    public void onDescriptorReleased() {
        closingConnections--;
    }

    // -- Capacity and evictions

    /** Returns whether one more client may be accepted; if not, {@link #evictionForClient} may free capacity. */
    public boolean hasCapacityForClient() {
        return clientConnections < maxClients;
    }

    /** Returns the client connection to evict in favor of a new one, or null: then the new one must be refused. */
    public Eviction<C> evictionForClient(long nowMs) {
        Eviction<C> eviction = evictionForServer(nowMs);
        return eviction != null
                ? eviction
                : oldest(pausedSince, nowMs, MIN_EVICTION_AGE_MS, EvictionReason.PAUSED_INPUT);
    }

    /**
     * Returns whether there is capacity for one more connection to a server; if not, a connection must be evicted
     * first.
     */
    public boolean hasCapacityForServer() {
        return clientConnections + serverConnections < maxConnections;
    }

    /**
     * Returns the client connection to evict in favor of a connection to a server, or null: then an idle connection to
     * a server must be closed instead.
     */
    public Eviction<C> evictionForServer(long nowMs) {
        Eviction<C> preStartup = oldest(preStartupSince, nowMs, MIN_EVICTION_AGE_MS, EvictionReason.NO_STARTUP_MESSAGE);
        return preStartup != null ? preStartup : oldest(idleSince, nowMs, MIN_EVICTION_AGE_MS, EvictionReason.IDLE);
    }

    /**
     * Returns whether a connection to a server may be opened now. Prevents the process from running out of descriptors
     * when many requests are sent at once: a closed connection releases its descriptor only a moment later.
     */
    public boolean mayOpenServerConnection() {
        return clientConnections + serverConnections + closingConnections < maxConnections + overlapAllowance;
    }

    /**
     * Returns a client connection that has exceeded a time limit, or null if there is none; to be called until it
     * returns null. Prevents clients from occupying connections without using them: startup messages and other messages
     * must be completed in time, long idle connections are evicted when there are many clients, and all idle
     * connections when the clients' share is nearly used up.
     */
    public Eviction<C> overdue(long nowMs) {
        Eviction<C> eviction = oldest(
                preStartupSince,
                nowMs,
                preStartupSince.size() > maxClients / PRE_STARTUP_DIVISOR ? MIN_EVICTION_AGE_MS : INCOMPLETE_TIMEOUT_MS,
                EvictionReason.NO_STARTUP_MESSAGE);
        eviction = eviction != null
                ? eviction
                : oldest(incompleteSince, nowMs, INCOMPLETE_TIMEOUT_MS, EvictionReason.INCOMPLETE_MESSAGE);
        eviction = eviction == null && clientConnections > maxClients / MANY_CLIENTS_DIVISOR
                ? oldest(idleSince, nowMs, IDLE_TIMEOUT_MS, EvictionReason.IDLE)
                : eviction;
        return eviction == null && clientConnections - preStartupSince.size() > maxClients / CROWDED_DIVISOR
                ? oldest(idleSince, nowMs, MIN_EVICTION_AGE_MS, EvictionReason.IDLE)
                : eviction;
    }

    /** Returns since when the reason of an eviction has applied without interruption; empty if it no longer applies. */
    public OptionalLong reasonSince(Eviction<C> eviction) {
        Long since = switch (eviction.reason()) {
            case NO_STARTUP_MESSAGE -> preStartupSince.get(eviction.client());
            case INCOMPLETE_MESSAGE -> incompleteSince.get(eviction.client());
            case PAUSED_INPUT -> pausedSince.get(eviction.client());
            case IDLE -> idleSince.get(eviction.client());
        };
        return since == null ? OptionalLong.empty() : OptionalLong.of(since);
    }

    /** Returns the client connection whose message has been incomplete longest, or null if there is none. */
    public C longestIncomplete() {
        return first(incompleteSince);
    }

    /** Returns the client connection whose input has been paused longest, or null if there is none. */
    public C longestPaused() {
        return first(pausedSince);
    }

    private static <C> C first(Map<C, Long> sinceMs) {
        return sinceMs.isEmpty() ? null : sinceMs.keySet().iterator().next();
    }

    /** Returns whether the client connection has an incomplete message. */
    public boolean hasIncompleteMessage(C client) {
        return incompleteSince.containsKey(client);
    }

    /** Returns the idle client connections, longest idle first. */
    public Iterable<C> idleClients() {
        return idleSince.keySet();
    }

    /**
     * Returns the oldest pre-startup connection, or null if none is at least this old. For a graceful shutdown, which
     * grants less time for the startup message.
     */
    public Eviction<C> preStartupFor(long minAgeMs, long nowMs) {
        return oldest(preStartupSince, nowMs, minAgeMs, EvictionReason.NO_STARTUP_MESSAGE);
    }

    private static <C> Eviction<C> oldest(Map<C, Long> sinceMs, long nowMs, long minAgeMs, EvictionReason reason) {
        Iterator<Map.Entry<C, Long>> entries = sinceMs.entrySet().iterator();
        if (!entries.hasNext()) {
            return null;
        }
        Map.Entry<C, Long> oldest = entries.next();
        return nowMs - oldest.getValue() < minAgeMs
                ? null
                : new Eviction<>(oldest.getKey(), reason, nowMs - oldest.getValue());
    }
}
