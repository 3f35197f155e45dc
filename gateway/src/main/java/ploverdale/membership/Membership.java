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
 * SWIM group membership (Das, Gupta and Motivala, 2002) of one gateway; the entry point for packets and ticks. The
 * members are configured and numbered from 0; the protocol detects which of them are running. {@link FailureDetector}
 * probes the members, {@link MemberTable} stores their states, and {@link UpdateDisseminator} disseminates these. This
 * class applies received updates and refutes wrong updates about this gateway.
 *
 * <p>Not thread-safe; used on the event loop only. Performs no I/O: outgoing messages are added to a
 * {@link PacketQueue}. Times in tenths of a millisecond of a monotonic clock.
 */
public final class Membership {
    /** Each change is sent this number of times the binary logarithm of the number of members; lambda in SWIM. */
    private static final double TRANSMISSION_FACTOR = 3;

    /** A change of the state or the incarnation of a member. */
    public record Change(int member, MemberState previous, MemberState current, long incarnation) {}

    private final int self;
    private final MemberTable members;
    private final FailureDetector failureDetector;
    private final MessageHandler messageHandler = new MessageHandler();
    private long incarnation;
    private boolean leaving;

    /**
     * Creates the membership as it is before any packet has been received.
     *
     * @param self the number of this gateway
     * @param size the number of configured gateways
     * @param startedMs start time of the process in Unix milliseconds. With it, updates of a later start of a gateway
     *     override those of an earlier one. If the wall clock was set back in between, {@link #correctStaleSender}
     *     makes the later start use a higher incarnation
     * @param random source of random numbers; they are drawn in a fixed order, so that a run can be reproduced
     */
    public Membership(int self, int size, long startedMs, RandomGenerator random) {
        this.self = self;
        incarnation = Incarnation.first(startedMs);
        members = new MemberTable(self, size, incarnation, (int) Math.ceil(TRANSMISSION_FACTOR * logOfSize(size)));
        failureDetector = new FailureDetector(self, members, new UpdateDisseminator(members), random);
    }

    /**
     * Returns the binary logarithm of the number of members, at least 1. Timeouts and retransmissions scale with it.
     */
    static double logOfSize(int size) {
        return Math.max(1, Math.log(size) / Math.log(2));
    }

    /** Returns the incarnation of this gateway, which each of its packets carries. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns the number of configured gateways. */
    public int size() {
        return members.size();
    }

    /** Returns the known state of a member. */
    public MemberState state(int member) {
        return members.state(member);
    }

    /** Returns the highest known incarnation of a member; 0 if none is known. */
    public long incarnation(int member) {
        return members.incarnation(member);
    }

    /** Returns whether a member counts as running, that is, whether it is ALIVE or SUSPECT. */
    public boolean isPresent(int member) {
        return members.isPresent(member);
    }

    /** Returns the number of members that are present, including this gateway. */
    public int presentCount() {
        return members.presentCount();
    }

    /** Returns the changes since the last call, in order. */
    public List<Change> drainChanges() {
        return members.drainChanges();
    }

    /** Called when this gateway begins to shut down. Its pings and acks announce this from now on. */
    public void leave(long now) {
        leaving = true;
        members.apply(now, new MemberUpdate(self, incarnation, MemberState.LEAVING));
    }

    /** Queues the messages that are due. To be called several times in each protocol period. */
    public void onTick(long now, PacketQueue out) {
        failureDetector.onTick(now, out);
    }

    /**
     * Called when a packet of another member has been received. If this returns true, its parts must be passed to
     * {@link #onPart}.
     *
     * @return false if the packet is from an earlier start of the member than the latest known one. Its parts must then
     *     be ignored
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
            // The update also reaches the member itself, whose refutation clears the state on all gateways.
            members.disseminateAgain(from);
        }
        return true;
    }

    /**
     * Answers a packet that {@link #acceptPacket} has rejected. Either the packet was delayed, or the process was
     * restarted while its wall clock was behind that of the earlier start. The answer holds the latest known
     * incarnation, which a running process refutes with a higher one.
     */
    public void correctStaleSender(int sender, PacketQueue out) {
        out.add(sender, MembershipCodec.encode(new Updates(List.of(members.update(sender)))));
    }

    /** Handles a part of an accepted packet. Ignores parts of other protocols. */
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

    /**
     * Returns whether an update is a suspicion of a member from which a packet has arrived within the last protocol
     * period.
     */
    private boolean isRefutedByContact(long now, MemberUpdate update) {
        return update.state() == MemberState.SUSPECT
                && update.incarnation() == members.incarnation(update.member())
                && now - members.lastContactAt(update.member()) < FailureDetector.PROTOCOL_PERIOD;
    }

    /** Refutes a false suspicion, and any update about an earlier start of this gateway whose clock was ahead. */
    private void refuteIfNeeded(long now, MemberUpdate update) {
        boolean isSuspicion =
                update.incarnation() == incarnation && update.state().overrides(MemberState.ALIVE);
        if (update.incarnation() > incarnation || isSuspicion && !leaving) {
            incarnation = Incarnation.refuting(incarnation, update.incarnation());
            MemberState state = leaving ? MemberState.LEAVING : MemberState.ALIVE;
            members.apply(now, new MemberUpdate(self, incarnation, state));
        }
    }

    /** Passes each kind of message to the class that handles it. */
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
