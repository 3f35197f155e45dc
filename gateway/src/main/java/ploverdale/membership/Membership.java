package ploverdale.membership;

import java.util.List;
import java.util.random.RandomGenerator;
import ploverdale.membership.MembershipMessage.Ack;
import ploverdale.membership.MembershipMessage.Delivery;
import ploverdale.membership.MembershipMessage.Ping;
import ploverdale.membership.MembershipMessage.PingRequest;
import ploverdale.membership.MembershipMessage.Updates;
import ploverdale.membership.Packet.Part;

/**
 * SWIM group membership (Das, Gupta and Motivala, 2002) as one gateway sees it: entry point for packets and ticks. The
 * members are configured and numbered from 0; which of them run is found out here. {@link FailureDetector} probes,
 * {@link MemberTable} keeps the states, {@link UpdateDisseminator} spreads them; this class takes over updates and refutes
 * those about this gateway.
 *
 * <p>Not thread-safe: belongs to the event loop. Does no I/O: what is to be sent is added to a {@link PacketQueue}. Times
 * in tenths of a millisecond, of a monotonic clock.
 */
public final class Membership {
    /** Times that each change is disseminated, times the binary logarithm of the number of members; SWIM's lambda. */
    private static final double TRANSMISSION_FACTOR = 3;

    /** A member's state has changed, or its incarnation. */
    public record Change(int member, MemberState previous, MemberState current, long incarnation) {}

    private final int self;
    private final MemberTable members;
    private final FailureDetector failureDetector;
    private final MessageHandler messageHandler = new MessageHandler();
    private long incarnation;
    private boolean leaving;

    /**
     * @param self the number of this gateway
     * @param size the number of configured gateways
     * @param startedMs Unix ms, by which a later start of the same gateway overrides an earlier one; where the wall clock has
     *     stepped back in between, {@link #correctStaleSender} lets the later start find a higher incarnation
     * @param random drawn from in a fixed order, so that a run can be repeated
     */
    public Membership(int self, int size, long startedMs, RandomGenerator random) {
        this.self = self;
        incarnation = Incarnation.first(startedMs);
        members = new MemberTable(self, size, incarnation, (int) Math.ceil(TRANSMISSION_FACTOR * logOfSize(size)));
        failureDetector = new FailureDetector(self, members, new UpdateDisseminator(members), random);
    }

    /** The binary logarithm of the number of members, at least 1: the scale of SWIM's timeouts and retransmissions. */
    static double logOfSize(int size) {
        return Math.max(1, Math.log(size) / Math.log(2));
    }

    /** The own incarnation, which each packet of this gateway carries. */
    public long incarnation() {
        return incarnation;
    }

    /** The number of configured gateways. */
    public int size() {
        return members.size();
    }

    /** What is believed of a member. */
    public MemberState state(int member) {
        return members.state(member);
    }

    /** The highest incarnation known of a member; 0 while it is unknown. */
    public long incarnation(int member) {
        return members.incarnation(member);
    }

    /** Whether a member takes part in the cluster's work: ALIVE or SUSPECT. */
    public boolean isPresent(int member) {
        return members.isPresent(member);
    }

    /** The number of members that are present, this gateway included. */
    public int presentCount() {
        return members.presentCount();
    }

    /** What has changed since the last call, in order. */
    public List<Change> drainChanges() {
        return members.drainChanges();
    }

    /** This gateway begins to shut down, and announces that with all that it still sends. */
    public void leave(long now) {
        leaving = true;
        members.apply(now, new MemberUpdate(self, incarnation, MemberState.LEAVING));
    }

    /** Sends what is due; to be called several times in a protocol period. */
    public void onTick(long now, PacketQueue out) {
        failureDetector.onTick(now, out);
    }

    /**
     * A packet of another member has arrived. Its parts are to be passed to {@link #onPart} if this returns true.
     *
     * @return false where the packet is of an earlier start of that member than the last one known; its parts must not be read
     */
    public boolean acceptPacket(long now, int from, long senderIncarnation) {
        long known = members.incarnation(from);
        if (Incarnation.startOf(senderIncarnation) < Incarnation.startOf(known)) {
            return false;
        }
        members.recordContact(now, from);
        MemberState state = members.state(from);
        if (senderIncarnation > known || state == MemberState.UNKNOWN) {
            members.apply(now, new MemberUpdate(from, senderIncarnation, MemberState.ALIVE));
        } else if (state == MemberState.SUSPECT || state == MemberState.DEAD) {
            members.disseminateAgain(from); // also to the member itself, which refutes it; that clears it everywhere
        }
        return true;
    }

    /**
     * Answers a packet that {@link #acceptPacket} has turned down. Either it was delayed, or the process has been restarted
     * while its wall clock was behind that of the earlier start. The answer holds the incarnation known here, which a live
     * process refutes with a higher one.
     */
    public void correctStaleSender(int sender, PacketQueue out) {
        out.add(sender, MembershipCodec.encode(new Updates(List.of(members.update(sender)))));
    }

    /** Handles one part of an accepted packet; ignores parts of other protocols. */
    public void onPart(long now, int from, Part part, PacketQueue out) {
        MembershipMessage message = MembershipCodec.decode(part);
        if (message != null) {
            message.dispatch(new Delivery(now, from, out), messageHandler);
        }
    }

    private void onUpdate(Delivery delivery, MemberUpdate update) {
        if (update.member() == self) {
            refuteIfNeeded(delivery.now(), update);
        } else if (members.isOverriddenBy(update) && !isRefutedByContact(delivery.now(), update)) {
            members.apply(delivery.now(), update);
            if (update.state() == MemberState.SUSPECT) {
                failureDetector.onSuspicion(delivery.now(), update.member(), delivery.out());
            }
        }
    }

    /** Whether a suspicion is out of date here, since a packet of the suspect has arrived just now. */
    private boolean isRefutedByContact(long now, MemberUpdate update) {
        return update.state() == MemberState.SUSPECT
                && update.incarnation() == members.incarnation(update.member())
                && now - members.lastContactAt(update.member()) < FailureDetector.PROTOCOL_PERIOD;
    }

    /** Overrides a false suspicion, and any update about an earlier start of this gateway whose clock was ahead. */
    private void refuteIfNeeded(long now, MemberUpdate update) {
        boolean isSuspicion =
                update.incarnation() == incarnation && update.state().overrides(MemberState.ALIVE);
        if (update.incarnation() > incarnation || isSuspicion && !leaving) {
            incarnation = Incarnation.refuting(incarnation, update.incarnation());
            MemberState state = leaving ? MemberState.LEAVING : MemberState.ALIVE;
            members.apply(now, new MemberUpdate(self, incarnation, state));
        }
    }

    /** Hands each kind of message to the class that is in charge of it. */
    private final class MessageHandler implements MembershipMessage.Handler {
        @Override
        public void onPing(Delivery delivery, Ping ping) {
            failureDetector.onPing(delivery.from(), ping, delivery.out());
        }

        @Override
        public void onAck(Delivery delivery, Ack ack) {
            failureDetector.onAck(ack, delivery.out());
        }

        @Override
        public void onPingRequest(Delivery delivery, PingRequest request) {
            failureDetector.onPingRequest(delivery.now(), delivery.from(), request, delivery.out());
        }

        @Override
        public void onUpdates(Delivery delivery, Updates updates) {
            for (MemberUpdate update : updates.updates()) {
                if (update.member() < members.size()) {
                    onUpdate(delivery, update);
                }
            }
        }
    }
}
