package ploverdale.routing;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ploverdale.model.GroupId;
import ploverdale.model.ServerId;
import ploverdale.state.PendingRequest;
import ploverdale.state.ReplicaGroup;
import ploverdale.state.ServerState;

/** All servers that were ever listed, in that order, and all replica groups with servers or waiting requests. */
final class ServerDirectory {
    private final Map<ServerId, ServerState> servers = new LinkedHashMap<>();
    private final Map<GroupId, ReplicaGroup> groups = new LinkedHashMap<>();

    /** Returns the server with this id, if it was ever listed. */
    Optional<ServerState> find(ServerId id) {
        return Optional.ofNullable(servers.get(id));
    }

    /** Returns all servers that were ever listed, in the order in which they were first listed. */
    Collection<ServerState> servers() {
        return Collections.unmodifiableCollection(servers.values());
    }

    /** Returns the group with this id, which is created if it is not known yet. */
    ReplicaGroup group(GroupId id) {
        return groups.computeIfAbsent(id, ReplicaGroup::new);
    }

    /** Returns a copy of the known groups, in the order in which they became known. */
    List<ReplicaGroup> groups() {
        return List.copyOf(groups.values());
    }

    /** Removes a request from those that wait in its group, and forgets the group if it has nothing else. */
    void dequeue(PendingRequest request) {
        ReplicaGroup group = group(request.arrival().group());
        group.dequeue(request);
        if (group.members().isEmpty() && group.waiting().isEmpty()) {
            groups.remove(group.id()); // clients may name any number of groups that do not exist
        }
    }

    /**
     * Adds a newly listed server.
     *
     * @param limit its initial concurrency limit
     */
    ServerState add(ServerId id, GroupId group, double limit) {
        ServerState server = new ServerState(id, group(group), limit);
        servers.put(id, server);
        server.group().add(server);
        return server;
    }

    /** Whether the server is known and neither draining nor removed. */
    boolean isActive(ServerId id) {
        ServerState server = servers.get(id);
        return server != null && server.lifecycle().isActive();
    }
}
