package ploverdale.routing;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import ploverdale.model.GroupId;
import ploverdale.model.ServerId;
import ploverdale.state.ReplicaGroup;
import ploverdale.state.ServerState;

/** All servers and replica groups that were ever listed, in the order in which they were. */
final class ServerDirectory {
    private final Map<ServerId, ServerState> servers = new LinkedHashMap<>();
    private final Map<GroupId, ReplicaGroup> groups = new LinkedHashMap<>();

    /** The server of this name, if it was ever listed. */
    Optional<ServerState> find(ServerId id) {
        return Optional.ofNullable(servers.get(id));
    }

    /** All servers. */
    Collection<ServerState> servers() {
        return Collections.unmodifiableCollection(servers.values());
    }

    /** The group of this name, which is made where it is not known yet. */
    ReplicaGroup group(GroupId id) {
        return groups.computeIfAbsent(id, ReplicaGroup::new);
    }

    /** All groups. */
    Collection<ReplicaGroup> groups() {
        return Collections.unmodifiableCollection(groups.values());
    }

    /** Adds a server to its group. */
    ServerState add(ServerId id, GroupId group, double limit) {
        ServerState server = new ServerState(id, group(group), limit);
        servers.put(id, server);
        server.group().add(server);
        return server;
    }

    /** Whether the server may get new requests as far as its lifecycle is concerned: not once it drains or is removed. */
    boolean isActive(ServerId id) {
        ServerState server = servers.get(id);
        return server != null && server.lifecycle().isActive();
    }
}
