package ploverdale.state;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import ploverdale.model.GroupId;
import ploverdale.model.Report;

/** The members of a group and the ops that wait for one of them. */
public final class Group {
    public final GroupId id;
    public final List<Member> members = new ArrayList<>();
    public final Set<Op> held = new LinkedHashSet<>();
    public Member primary;
    public long askedAt = Report.UNTOLD;

    public Group(GroupId id) {
        this.id = id;
    }
}
