package ploverdale.membership;

import java.util.ArrayList;
import java.util.List;
import ploverdale.membership.Membership.Change;

/**
 * The state, incarnation and last contact of each member, and how often its state is still to be disseminated. All
 * changes of these values go through this class, but other classes decide on them. Times in tenths of a millisecond.
 */
final class MemberTable {
    private static final long NEVER = Long.MIN_VALUE / 2; // can be subtracted from any time without overflow

    private static final class Member {
        private MemberState state = MemberState.UNKNOWN;
        private long incarnation;
        private long stateSince;
        private long lastContactAt = NEVER;
        private int remainingTransmissions;
    }

    private final int self;
    private final Member[] members;
    private final int maxTransmissions;
    private final List<Change> changes = new ArrayList<>();

    /**
     * Creates a table in which this gateway is alive and all other members are unknown.
     *
     * @param self the number of this gateway
     * @param size the number of configured members
     * @param ownIncarnation the incarnation of this gateway
     * @param maxTransmissions how often each change is sent
     */
    MemberTable(int self, int size, long ownIncarnation, int maxTransmissions) {
        this.self = self;
        this.maxTransmissions = maxTransmissions;
        members = new Member[size];
        for (int i = 0; i < size; i++) {
            members[i] = new Member();
        }
        members[self].state = MemberState.ALIVE;
        members[self].incarnation = ownIncarnation;
        members[self].remainingTransmissions = maxTransmissions;
    }

    /** Returns the number of configured members. */
    int size() {
        return members.length;
    }

    /** Returns the known state of a member. */
    MemberState state(int member) {
        return members[member].state;
    }

    /** Returns the highest known incarnation of a member; 0 if none is known. */
    long incarnation(int member) {
        return members[member].incarnation;
    }

    /** Returns when the last packet of the member itself arrived; a time far in the past if none has. */
    long lastContactAt(int member) {
        return members[member].lastContactAt;
    }

    /** Returns whether a member counts as running, that is, whether it is ALIVE or SUSPECT. */
    boolean isPresent(int member) {
        return state(member) == MemberState.ALIVE || state(member) == MemberState.SUSPECT;
    }

    /** Returns the number of members that are present, including this gateway. */
    int presentCount() {
        int count = 0;
        for (int i = 0; i < members.length; i++) {
            count += isPresent(i) ? 1 : 0;
        }
        return count;
    }

    /** Returns the update that disseminates the state of a member. */
    MemberUpdate update(int member) {
        return new MemberUpdate(member, members[member].incarnation, members[member].state);
    }

    /** Returns whether an update takes precedence over the known state of its member. */
    boolean isOverriddenBy(MemberUpdate update) {
        Member known = members[update.member()];
        return update.incarnation() > known.incarnation
                || update.incarnation() == known.incarnation && update.state().overrides(known.state);
    }

    /** Records that a packet of the member itself has arrived. */
    void recordContact(long now, int member) {
        members[member].lastContactAt = now;
    }

    /** Applies an update unconditionally and schedules its dissemination. */
    void apply(long now, MemberUpdate update) {
        Member member = members[update.member()];
        MemberState previous = member.state;
        boolean isNewIncarnation = update.incarnation() > member.incarnation;
        member.incarnation = update.incarnation();
        member.state = update.state();
        member.stateSince = now;
        disseminateAgain(update.member());
        if (previous != update.state() || isNewIncarnation && update.member() != self) {
            changes.add(new Change(update.member(), previous, update.state(), update.incarnation()));
        }
    }

    /** Changes the state of a member without changing its incarnation. */
    void setState(long now, int member, MemberState state) {
        apply(now, new MemberUpdate(member, members[member].incarnation, state));
    }

    /** Declares the members dead that have been suspected for longer than the timeout. */
    void expireSuspicions(long now, long suspicionTimeout) {
        for (int i = 0; i < members.length; i++) {
            if (members[i].state == MemberState.SUSPECT && now - members[i].stateSince > suspicionTimeout) {
                setState(now, i, MemberState.DEAD);
            }
        }
    }

    /** Returns how often the state of a member is still to be sent. */
    int remainingTransmissions(int member) {
        return members[member].remainingTransmissions;
    }

    /** Counts one transmission of the state of a member. */
    void countTransmission(int member) {
        members[member].remainingTransmissions = Math.max(0, members[member].remainingTransmissions - 1);
    }

    /** Schedules the state of a member to be sent as often as a new one. */
    void disseminateAgain(int member) {
        members[member].remainingTransmissions = maxTransmissions;
    }

    /** Returns the changes since the last call, in order. */
    List<Change> drainChanges() {
        List<Change> drained = List.copyOf(changes);
        changes.clear();
        return drained;
    }
}
