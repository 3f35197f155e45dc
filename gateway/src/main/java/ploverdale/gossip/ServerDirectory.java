package ploverdale.gossip;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import ploverdale.model.ServerId;

/** The listed servers, by id and by hash. Servers whose hashes collide cannot be distinguished in datagrams and are left out. */
final class ServerDirectory {
    private static final KnownServer AMBIGUOUS = new KnownServer(null);

    private final Map<ServerId, KnownServer> byId = new LinkedHashMap<>();
    private final Map<Integer, KnownServer> byHash = new HashMap<>();
    private final Map<Integer, KnownServer> byShortHash = new HashMap<>();

    /** A server is listed; without effect where it is known already. */
    void add(ServerId id) {
        if (byId.containsKey(id)) {
            return;
        }
        KnownServer server = new KnownServer(id);
        byId.put(id, server);
        byHash.merge(ServerHash.of(id), server, (known, added) -> AMBIGUOUS);
        byShortHash.merge(ServerHash.shortOf(id), server, (known, added) -> AMBIGUOUS);
    }

    /** A server is no longer listed. Returns what was known of it, or null. */
    KnownServer remove(ServerId id) {
        KnownServer server = byId.remove(id);
        if (server != null) {
            byHash.remove(ServerHash.of(id), server);
            byShortHash.remove(ServerHash.shortOf(id), server);
        }
        return server;
    }

    /** The server with this id, or null. */
    KnownServer find(ServerId id) {
        return byId.get(id);
    }

    /** The server that a datagram names; null where it is not listed or ambiguous. */
    KnownServer find(Datagram.Kind kind, int hash) {
        KnownServer server = (kind.isPositions() ? byShortHash : byHash).get(hash);
        return server == AMBIGUOUS ? null : server;
    }

    /** Whether a datagram of observations can name this server. */
    boolean isUnambiguous(KnownServer server) {
        return byHash.get(ServerHash.of(server.id())) == server;
    }

    /** All listed servers, in the order in which they were added. */
    Collection<KnownServer> all() {
        return byId.values();
    }
}
