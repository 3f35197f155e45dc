package ploverdale.gossip;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import ploverdale.model.ServerId;

/**
 * The listed servers by id and by hash. Servers with the same hash cannot be distinguished in a datagram, so they are
 * excluded from gossip.
 */
final class ServerDirectory {
    /** Stands in the maps by hash for several servers with the same hash. */
    private static final KnownServer AMBIGUOUS = new KnownServer(null);

    private final Map<ServerId, KnownServer> byId = new LinkedHashMap<>();
    private final Map<Integer, KnownServer> byHash = new HashMap<>();
    private final Map<Integer, KnownServer> byShortHash = new HashMap<>();

    /** Adds a listed server; has no effect if it was added before. */
    void add(ServerId id) {
        if (byId.containsKey(id)) {
            return;
        }
        KnownServer server = new KnownServer(id);
        byId.put(id, server);
        byHash.merge(ServerHash.of(id), server, (known, added) -> AMBIGUOUS);
        byShortHash.merge(ServerHash.shortOf(id), server, (known, added) -> AMBIGUOUS);
    }

    /** Removes a server that is no longer listed and returns it; null if it was not listed. */
    KnownServer remove(ServerId id) {
        KnownServer server = byId.remove(id);
        if (server != null) {
            byHash.remove(ServerHash.of(id), server);
            byShortHash.remove(ServerHash.shortOf(id), server);
        }
        return server;
    }

    /** Returns the server with an id, or null if it is not listed. */
    KnownServer find(ServerId id) {
        return byId.get(id);
    }

    /** Returns the server with a hash in a datagram; null if none is listed or the hash is ambiguous. */
    KnownServer find(Datagram.Kind kind, int hash) {
        KnownServer server = (kind.isPositions() ? byShortHash : byHash).get(hash);
        return server == AMBIGUOUS ? null : server;
    }

    /** Returns whether the 32-bit hash of a listed server identifies it. */
    boolean isUnambiguous(KnownServer server) {
        return byHash.get(ServerHash.of(server.id())) == server;
    }

    /** Returns all listed servers in the order in which they were added. */
    Collection<KnownServer> all() {
        return byId.values();
    }
}
