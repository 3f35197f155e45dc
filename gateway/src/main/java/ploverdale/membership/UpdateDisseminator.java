package ploverdale.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import ploverdale.membership.MembershipMessage.Updates;

/**
 * Selects the updates that are piggybacked on pings and acks (SWIM, section 4.1). Each change is sent a bounded number
 * of times; changes that have been sent least often are preferred. A suspected or dead member is always sent its own
 * state, so that it can refute it (the buddy system of Lifeguard).
 */
final class UpdateDisseminator {
    private final MemberTable members;

    /** Creates a disseminator of the states in the table. */
    UpdateDisseminator(MemberTable members) {
        this.members = members;
    }

    /** Queues updates for a member for which a ping or an ack has been queued. */
    void piggyback(int receiver, PacketQueue out) {
        List<Integer> candidates = candidates(receiver);
        List<Integer> chosen = candidates.subList(0, Math.min(MembershipCodec.MAX_UPDATES, candidates.size()));
        if (chosen.isEmpty()) {
            return;
        }
        List<MemberUpdate> updates = new ArrayList<>();
        for (int member : chosen) {
            members.countTransmission(member);
            updates.add(members.update(member));
        }
        out.add(receiver, MembershipCodec.encode(new Updates(updates)));
    }

    private List<Integer> candidates(int receiver) {
        List<Integer> candidates = new ArrayList<>();
        for (int i = 0; i < members.size(); i++) {
            if (isPending(i) || i == receiver && mayRefute(i)) {
                candidates.add(i);
            }
        }
        candidates.sort(Comparator.comparingInt(member -> order(member, receiver)));
        return candidates;
    }

    /** Returns whether the state of a member is still to be sent to others. */
    private boolean isPending(int member) {
        return members.remainingTransmissions(member) > 0 && members.state(member) != MemberState.UNKNOWN;
    }

    private boolean mayRefute(int member) {
        return members.state(member) == MemberState.SUSPECT || members.state(member) == MemberState.DEAD;
    }

    /** Sort key: the receiver's own state comes first, then the states that have been sent least often. */
    private int order(int member, int receiver) {
        return member == receiver ? Integer.MIN_VALUE : -members.remainingTransmissions(member);
    }
}
