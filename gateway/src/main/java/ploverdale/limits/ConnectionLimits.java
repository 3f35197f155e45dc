package ploverdale.limits;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The descriptors of one gateway and who holds them. A client's connection is a stranger's until its greeting, then idle
 * or asking; a message may be unfinished at any time. Clients together hold at most their share, so that servers stay
 * within reach however many clients come; servers may also use what clients leave.
 *
 * @param <C> stands for a client's connection; its identity is its name
 */
public final class ConnectionLimits<C> {
    /** Why a client's connection is to end. */
    public enum Why {
        NO_GREETING,
        UNFINISHED,
        IDLE
    }

    /** Who is to end, and why. */
    public record Eviction<C>(C who, Why why, long sinceMs) {
        /** Whether it ends for lack of room, before the time that any client has for a greeting or a message is up. */
        public boolean forRoom() {
            return sinceMs < UNFINISHED_MS;
        }
    }

    private static final int CLIENTS_OF_TEN = 7; // of what connections may take
    private static final int MANY_PART = 3; // of the clients' share; above it long idle ones end
    private static final double CROWDED_PART = 2.2; // of the same; above it those idle for a moment end, since clients
    // hold connections of their own share only, and those idle at one client keep others from asking
    private static final int STRANGERS_PART = 3; // of the same; above it a new stranger takes the oldest one's place
    private static final int SPARE_LEAST = 24; // for the program's own files, discovery, the listener
    private static final int SPARE_PART = 8; // of the descriptors
    private static final int CROSSING_PART = 3; // of the spare ones, for connections that open as others close
    private static final long UNFINISHED_MS = 2200; // for a greeting or a message to be whole; the platform waits 3 s
    private static final long IDLE_MS = 2100; // after which a connection may be ended; the platform grants 2 s
    private static final long MOMENT_MS = 100; // so that a client that has just been let in may ask

    private int connections;
    private int clientsMost;
    private int crossing;
    private final Map<C, Long> strangers = new LinkedHashMap<>(); // since when; longest first, as in the others
    private final Map<C, Long> unfinished = new LinkedHashMap<>();
    private final Map<C, Long> idle = new LinkedHashMap<>();
    private int clients;
    private int servers;
    private int closing;

    public ConnectionLimits(int descriptors) {
        renew(descriptors);
    }

    /** Another number of descriptors from now on; those held over it end as they make way. */
    public void renew(int descriptors) {
        int spare = Math.max(SPARE_LEAST, descriptors / SPARE_PART);
        connections = descriptors - spare;
        clientsMost = connections * CLIENTS_OF_TEN / 10;
        crossing = spare / CROSSING_PART;
    }

    public int clientsMost() {
        return clientsMost;
    }

    public int clients() {
        return clients;
    }

    /** How many connections there are beyond those that may be, with those on their way out; below 0: so many less. */
    public int over() {
        return clients + servers + closing - connections;
    }

    public int strangers() {
        return strangers.size();
    }

    public int servers() {
        return servers;
    }

    // -- What happens to connections

    /** A client has connected. */
    public void came(C client, long nowMs) {
        clients++;
        strangers.put(client, nowMs);
    }

    /** A client has greeted; the answer makes it idle. */
    public void greeted(C client) {
        strangers.remove(client);
    }

    /** A client waits for nothing; counts from now, also where it was idle before. */
    public void idle(C client, long nowMs) {
        idle.remove(client);
        idle.put(client, nowMs);
    }

    /** A client waits for an answer. */
    public void asks(C client) {
        idle.remove(client);
    }

    /** Part of a message has come; its time counts from the first part. */
    public void begun(C client, long nowMs) {
        unfinished.putIfAbsent(client, nowMs);
        idle.remove(client);
    }

    /** No part of a message is left. */
    public void whole(C client) {
        unfinished.remove(client);
    }

    /** A client's connection is being closed; its descriptor counts until {@link #closed}. */
    public void left(C client) {
        strangers.remove(client);
        unfinished.remove(client);
        idle.remove(client);
        clients--;
        closing++;
    }

    /** A client that has connected is turned away; its descriptor counts until {@link #closed}. */
    public void turnedAway() {
        closing++;
    }

    /** A connection to a server is being opened. */
    public void opened() {
        servers++;
    }

    /** A connection to a server is being closed. */
    public void released() {
        servers--;
        closing++;
    }

    /** The system has one descriptor back. */
    public void closed() {
        closing--;
    }

    // -- Who makes way

    /** Whether one more client has its place; if not, {@link #wayForClient} may make one. */
    public boolean clientFits() {
        return clients < clientsMost;
    }

    /** Who ends so that a client which has come may stay, or null: then that one is turned away. */
    public Eviction<C> wayForClient(long nowMs) {
        Eviction<C> stranger = oldest(strangers, nowMs, MOMENT_MS, Why.NO_GREETING);
        return stranger != null ? stranger : oldest(idle, nowMs, MOMENT_MS, Why.IDLE);
    }

    /** Whether the connections counted are fewer than may be; if not, way is to be made for one more to a server. */
    public boolean serverFits() {
        return clients + servers < connections;
    }

    /** Who of the clients ends for a connection to a server, or null: then an idle one to a server is to end. */
    public Eviction<C> wayForServer(long nowMs) {
        return wayForClient(nowMs);
    }

    /**
     * Whether a connection to a server may be opened now. Guards against running out of descriptors when many ops are
     * released at once: one that is closed gives its descriptor back a moment later.
     */
    public boolean mayOpen() {
        return clients + servers + closing < connections + crossing;
    }

    /**
     * Who is to end by now, or null; asked again until then. Guards against clients that hold connections and do nothing
     * with them: what they began ends in time; where connections are many, those long idle go, and where the share is
     * about used up, so does each that is idle.
     */
    public Eviction<C> overdue(long nowMs) {
        Eviction<C> l = oldest(
                strangers,
                nowMs,
                strangers.size() > clientsMost / STRANGERS_PART ? MOMENT_MS : UNFINISHED_MS,
                Why.NO_GREETING);
        l = l != null ? l : oldest(unfinished, nowMs, UNFINISHED_MS, Why.UNFINISHED);
        l = l == null && clients > clientsMost / MANY_PART ? oldest(idle, nowMs, IDLE_MS, Why.IDLE) : l;
        return l == null && clients - strangers.size() > clientsMost / CROWDED_PART
                ? oldest(idle, nowMs, MOMENT_MS, Why.IDLE)
                : l;
    }

    /** Since when what was said of a connection has held without a break; empty where it holds no more. */
    public OptionalLong heldSince(Eviction<C> leave) {
        Long since = switch (leave.why()) {
            case NO_GREETING -> strangers.get(leave.who());
            case UNFINISHED -> unfinished.get(leave.who());
            case IDLE -> idle.get(leave.who());
        };
        return since == null ? OptionalLong.empty() : OptionalLong.of(since);
    }

    /** The client whose message has been unfinished longest, or null. */
    public C longestUnfinished() {
        return unfinished.isEmpty() ? null : unfinished.keySet().iterator().next();
    }

    /** Whether part of a message of this client is here. */
    public boolean isUnfinished(C client) {
        return unfinished.containsKey(client);
    }

    /** Those who wait for nothing, longest first. */
    public Iterable<C> allIdle() {
        return idle.keySet();
    }

    /** Those who have said nothing for so long, or null; for a gateway that ends. */
    public Eviction<C> silentFor(long ms, long nowMs) {
        return oldest(strangers, nowMs, ms, Why.NO_GREETING);
    }

    private static <C> Eviction<C> oldest(Map<C, Long> all, long nowMs, long ms, Why why) {
        Iterator<Map.Entry<C, Long>> i = all.entrySet().iterator();
        if (!i.hasNext()) {
            return null;
        }
        Map.Entry<C, Long> e = i.next();
        return nowMs - e.getValue() < ms ? null : new Eviction<>(e.getKey(), why, nowMs - e.getValue());
    }
}
