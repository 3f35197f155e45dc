package ploverdale.state;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import ploverdale.model.GroupId;
import ploverdale.model.LoadReport;

/** The members of a group and the ops that wait for one of them. */
public final class ReplicaGroup {
    public final GroupId id;
    public final List<ServerState> members = new ArrayList<>();
    public final Set<PendingRequest> held = new LinkedHashSet<>();
    public ServerState primary;
    public long askedAt = LoadReport.UNKNOWN_TIME;

    public ReplicaGroup(GroupId id) {
        this.id = id;
    }
}
