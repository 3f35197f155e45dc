package ploverdale.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import ploverdale.model.GroupId;
import ploverdale.model.LoadReport;

/** The members of a replica group, its primary, and the requests that wait for one of them. */
public final class ReplicaGroup {
    private final GroupId id;
    private final List<ServerState> members = new ArrayList<>();
    private final Set<PendingRequest> waiting = new LinkedHashSet<>();
    private ServerState primary;
    private long requestedAt = LoadReport.UNKNOWN_TIME;

    /** A group without members. */
    public ReplicaGroup(GroupId id) {
        this.id = id;
    }

    /** The group's name. */
    public GroupId id() {
        return id;
    }

    /** All servers ever listed in the group, in the order in which they were. */
    public List<ServerState> members() {
        return Collections.unmodifiableList(members);
    }

    /** Adds a newly listed server. */
    public void add(ServerState server) {
        members.add(server);
    }

    /** The requests that wait for a server of the group, in their order of arrival. */
    public Set<PendingRequest> waiting() {
        return Collections.unmodifiableSet(waiting);
    }

    /** Has a request wait; one that waits already keeps its place. */
    public void enqueue(PendingRequest request) {
        waiting.add(request);
    }

    /** A request waits no longer. */
    public void dequeue(PendingRequest request) {
        waiting.remove(request);
    }

    /** The known primary, or null. */
    public ServerState primary() {
        return primary;
    }

    /** Changes the known primary; null where none is known. */
    public void setPrimary(ServerState server) {
        primary = server;
    }

    /** A request for the group has arrived. */
    public void recordRequest(long now) {
        requestedAt = now;
    }

    /** Whether a request for the group arrived less than so long ago. */
    public boolean wasRequestedWithin(long span, long now) {
        return now - requestedAt < span;
    }
}
