package ploverdale.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import ploverdale.membership.MembershipMessage.Updates;

/**
 * Chooses the updates that are piggybacked on pings and acks (SWIM, section 4.1). Each change goes out a bounded number of
 * times, those first that have gone out least often. A member that is suspected or dead is always sent its own state, so
 * that it can refute it (the buddy system of Lifeguard).
 */
final class UpdateDisseminator {
    private final MemberTable members;

    /** Disseminates the states of this table. */
    UpdateDisseminator(MemberTable members) {
        this.members = members;
    }

    /** Queues updates for a member to which a ping or an ack is queued as well. */
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

    private boolean isPending(int member) {
        return members.remainingTransmissions(member) > 0 && members.state(member) != MemberState.UNKNOWN;
    }

    private boolean mayRefute(int member) {
        return members.state(member) == MemberState.SUSPECT || members.state(member) == MemberState.DEAD;
    }

    private int order(int member, int receiver) {
        return member == receiver ? Integer.MIN_VALUE : -members.remainingTransmissions(member);
    }
}
