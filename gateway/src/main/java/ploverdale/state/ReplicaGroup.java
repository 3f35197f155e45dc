package ploverdale.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import ploverdale.model.GroupId;
import ploverdale.model.LoadReport;

/** A replica group: its members, its primary, and the requests that wait for one of its members. */
public final class ReplicaGroup {
    private final GroupId id;
    private final List<ServerState> members = new ArrayList<>();
    private final Set<PendingRequest> waiting = new LinkedHashSet<>();
    private ServerState primary;
    private long requestedAt = LoadReport.UNKNOWN_TIME;

    /** Creates a group without members. */
    public ReplicaGroup(GroupId id) {
        this.id = id;
    }

    /** Returns the group id. */
    public GroupId id() {
        return id;
    }

    /** Returns all servers that were ever listed in the group, in the order of their first listing. Unmodifiable. */
    public List<ServerState> members() {
        return Collections.unmodifiableList(members);
    }

    /** Adds a newly listed server. */
    public void add(ServerState server) {
        members.add(server);
    }

    /** Returns the requests that wait for a server of the group, in order of arrival. Unmodifiable. */
    public Set<PendingRequest> waiting() {
        return Collections.unmodifiableSet(waiting);
    }

    /** Adds a request to those that wait; one that is already waiting keeps its position. */
    public void enqueue(PendingRequest request) {
        waiting.add(request);
    }

    /** Removes a request from those that wait. */
    public void dequeue(PendingRequest request) {
        waiting.remove(request);
    }

    /** Returns the known primary, or null. */
    public ServerState primary() {
        return primary;
    }

    /** Sets the known primary; null if none is known. */
    public void setPrimary(ServerState server) {
        primary = server;
    }

    /** Records that a request for the group has arrived. */
    public void recordRequest(long now) {
        requestedAt = now;
    }

    /** Returns whether a request for the group arrived less than this many ticks ago. */
    public boolean wasRequestedWithin(long span, long now) {
        return now - requestedAt < span;
    }
}
