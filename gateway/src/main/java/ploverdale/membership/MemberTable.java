package ploverdale.membership;

import java.util.ArrayList;
import java.util.List;
import ploverdale.membership.Membership.Change;

/**
 * The state, incarnation and last contact of each member, and how often its state has still to be disseminated. Owns all
 * changes of these fields, but not the decision to make them. Times in tenths of a millisecond.
 */
final class MemberTable {
    private static final long NEVER = Long.MIN_VALUE / 2; // may be subtracted from any time without overflow

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
     * @param self this gateway's number; it is alive from the start
     * @param maxTransmissions how often each change is disseminated
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

    /** The number of configured members. */
    int size() {
        return members.length;
    }

    /** What is believed of a member. */
    MemberState state(int member) {
        return members[member].state;
    }

    /** The highest incarnation known of it; 0 while it is unknown. */
    long incarnation(int member) {
        return members[member].incarnation;
    }

    /** When a packet of this member itself has arrived last; long ago where none has. */
    long lastContactAt(int member) {
        return members[member].lastContactAt;
    }

    /** Whether it is believed to run: ALIVE, or SUSPECT and not yet declared dead. */
    boolean isPresent(int member) {
        return state(member) == MemberState.ALIVE || state(member) == MemberState.SUSPECT;
    }

    /** The number of members that are present, this gateway included. */
    int presentCount() {
        int count = 0;
        for (int i = 0; i < members.length; i++) {
            count += isPresent(i) ? 1 : 0;
        }
        return count;
    }

    /** What is to be disseminated about a member. */
    MemberUpdate update(int member) {
        return new MemberUpdate(member, members[member].incarnation, members[member].state);
    }

    /** Whether an update says more than is known here. */
    boolean isOverriddenBy(MemberUpdate update) {
        Member known = members[update.member()];
        return update.incarnation() > known.incarnation
                || update.incarnation() == known.incarnation && update.state().overrides(known.state);
    }

    /** A packet of the member itself has arrived. */
    void recordContact(long now, int member) {
        members[member].lastContactAt = now;
    }

    /** Takes over an update, whatever is known, and disseminates it. */
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

    /** Changes the state within the known incarnation. */
    void setState(long now, int member, MemberState state) {
        apply(now, new MemberUpdate(member, members[member].incarnation, state));
    }

    /** Declares dead who has been suspected for longer than the timeout. */
    void expireSuspicions(long now, long suspicionTimeout) {
        for (int i = 0; i < members.length; i++) {
            if (members[i].state == MemberState.SUSPECT && now - members[i].stateSince > suspicionTimeout) {
                setState(now, i, MemberState.DEAD);
            }
        }
    }

    /** How often the state of the member is still to be sent. */
    int remainingTransmissions(int member) {
        return members[member].remainingTransmissions;
    }

    /** The state of the member is being sent once more. */
    void countTransmission(int member) {
        members[member].remainingTransmissions = Math.max(0, members[member].remainingTransmissions - 1);
    }

    /** The state of the member is to be sent as often as a new one. */
    void disseminateAgain(int member) {
        members[member].remainingTransmissions = maxTransmissions;
    }

    /** What has changed since the last call, in order. */
    List<Change> drainChanges() {
        List<Change> drained = List.copyOf(changes);
        changes.clear();
        return drained;
    }
}
