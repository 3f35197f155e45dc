package ploverdale.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.random.RandomGenerator;
import ploverdale.membership.MembershipMessage.Ack;
import ploverdale.membership.MembershipMessage.Ping;
import ploverdale.membership.MembershipMessage.PingRequest;

/**
 * The failure detector of SWIM. In each protocol period it pings one member, in an order that is shuffled anew in each
 * round (section 4.3). If no packet of the member arrives in time, it requests indirect probes from a few other
 * members. If none has arrived by the end of the period, the member is suspected. When an update reports a suspicion of
 * another gateway, this gateway probes the suspect as well, with some probability. If this confirming probe fails too,
 * the member is declared dead before the suspicion timeout expires, similar to the independent confirmations of
 * Lifeguard. Times in tenths of a millisecond of a monotonic clock.
 */
final class FailureDetector {
    private static final long TICKS_PER_MS = 10;

    /** The protocol period, T' in SWIM. */
    static final long PROTOCOL_PERIOD = 500 * TICKS_PER_MS;
    /** Time without an ack after which indirect probes are sent. Several round-trip times, so that they are rare. */
    private static final long ACK_TIMEOUT = 150 * TICKS_PER_MS;
    /** Number of indirect probes, k in SWIM. Enough to distinguish a dead member from a lossy network path. */
    private static final int INDIRECT_PROBES = 3;
    /**
     * Average number of members that send a confirming probe: several, since probes get lost, but few in a large
     * fleet.
     */
    private static final double EXPECTED_CONFIRMATIONS = 8;
    /**
     * The suspicion timeout is this number of protocol periods, times half the binary logarithm of the number of
     * members.
     */
    private static final double SUSPICION_PERIODS = 4;
    /** A dead or leaving member is probed in one out of this many rounds on average, to detect when it runs again. */
    private static final int ABSENT_PROBE_ROUNDS = 4;

    /** A ping that has not been answered yet. */
    private static final class OutstandingPing {
        private final int target;
        /** The sender of the ping-req, or this gateway for its own probes. */
        private final int requester;

        /** The sequence number of the ping-req; 0 for own probes. */
        private final int requesterSequence;

        private final long sentAt;
        private final long targetIncarnation;
        private final boolean confirmsSuspicion;
        private boolean indirectProbesSent;

        private OutstandingPing(
                int target,
                int requester,
                int requesterSequence,
                long sentAt,
                long targetIncarnation,
                boolean confirmsSuspicion) {
            this.target = target;
            this.requester = requester;
            this.requesterSequence = requesterSequence;
            this.sentAt = sentAt;
            this.targetIncarnation = targetIncarnation;
            this.confirmsSuspicion = confirmsSuspicion;
        }
    }

    private final int self;
    private final MemberTable members;
    private final UpdateDisseminator disseminator;
    private final RandomGenerator random;
    private final long suspicionTimeout;
    private final Map<Integer, OutstandingPing> outstanding = new LinkedHashMap<>(); // by sequence number
    /** The members that are still to be probed in this round, in reverse order. */
    private final List<Integer> remainingInRound = new ArrayList<>();

    private int lastSequence;
    private boolean started;
    private long nextProbeAt;

    /**
     * Creates a detector that starts to probe with the first tick.
     *
     * @param random source of random numbers; they are drawn in a fixed order, so that a run can be reproduced
     */
    FailureDetector(int self, MemberTable members, UpdateDisseminator disseminator, RandomGenerator random) {
        this.self = self;
        this.members = members;
        this.disseminator = disseminator;
        this.random = random;
        suspicionTimeout = (long) (SUSPICION_PERIODS * Membership.logOfSize(members.size()) * PROTOCOL_PERIOD / 2);
    }

    /** Evaluates the outstanding probes and the suspicions, and sends the next probe if it is due. */
    void onTick(long now, PacketQueue out) {
        dropExpiredRelays(now);
        for (int sequence : List.copyOf(outstanding.keySet())) {
            OutstandingPing ping = outstanding.get(sequence);
            if (ping.requester == self) {
                evaluate(now, sequence, ping, out);
            }
        }
        members.expireSuspicions(now, suspicionTimeout);
        probeNextIfDue(now, out);
    }

    private void dropExpiredRelays(long now) {
        outstanding.values().removeIf(ping -> ping.requester != self && now - ping.sentAt > 2 * PROTOCOL_PERIOD);
    }

    private void evaluate(long now, int sequence, OutstandingPing ping, PacketQueue out) {
        boolean unanswered = members.lastContactAt(ping.target) < ping.sentAt;
        if (now - ping.sentAt >= PROTOCOL_PERIOD) {
            outstanding.remove(sequence);
            if (unanswered) {
                onProbeFailed(now, ping);
            }
        } else if (unanswered && !ping.indirectProbesSent && now - ping.sentAt >= ACK_TIMEOUT) {
            ping.indirectProbesSent = true;
            sendIndirectProbes(sequence, ping.target, out);
        }
    }

    private void onProbeFailed(long now, OutstandingPing ping) {
        switch (members.state(ping.target)) {
            case UNKNOWN -> members.setState(now, ping.target, MemberState.DEAD);
            case ALIVE -> members.setState(now, ping.target, MemberState.SUSPECT);
            case SUSPECT -> {
                if (ping.confirmsSuspicion && members.incarnation(ping.target) == ping.targetIncarnation) {
                    members.setState(now, ping.target, MemberState.DEAD);
                }
            }
            default -> {
                // LEAVING and DEAD: a missing ack is expected.
            }
        }
    }

    private void sendIndirectProbes(int sequence, int target, PacketQueue out) {
        for (int relay : randomAliveMembers(INDIRECT_PROBES, target)) {
            out.add(relay, MembershipCodec.encode(new PingRequest(sequence, target)));
        }
    }

    private List<Integer> randomAliveMembers(int limit, int excluded) {
        List<Integer> alive = new ArrayList<>();
        for (int i = 0; i < members.size(); i++) {
            if (i != self && i != excluded && members.state(i) == MemberState.ALIVE) {
                alive.add(i);
            }
        }
        shuffle(alive);
        return alive.subList(0, Math.min(limit, alive.size()));
    }

    private void shuffle(List<Integer> list) {
        Collections.shuffle(list, new Random(random.nextLong()));
    }

    private void probeNextIfDue(long now, PacketQueue out) {
        if (started && now < nextProbeAt) {
            return;
        }
        // The first period has a random length, so that gateways that start together do not probe in lockstep.
        nextProbeAt = started ? Math.max(now, nextProbeAt + PROTOCOL_PERIOD) : now + random.nextLong(PROTOCOL_PERIOD);
        started = true;
        if (remainingInRound.isEmpty()) {
            beginRound();
        }
        if (!remainingInRound.isEmpty()) {
            probe(now, remainingInRound.remove(remainingInRound.size() - 1), false, out);
        }
    }

    private void beginRound() {
        for (int i = 0; i < members.size(); i++) {
            boolean absent = members.state(i) == MemberState.DEAD || members.state(i) == MemberState.LEAVING;
            if (i != self && (!absent || random.nextInt(ABSENT_PROBE_ROUNDS) == 0)) {
                remainingInRound.add(i);
            }
        }
        shuffle(remainingInRound);
    }

    /** Called when an update has newly reported a member as suspected. Probes the suspect with some probability. */
    void onSuspicion(long now, int suspect, PacketQueue out) {
        if (random.nextDouble() * (members.size() - 1) < EXPECTED_CONFIRMATIONS) {
            probe(now, suspect, true, out);
        }
    }

    private void probe(long now, int target, boolean confirmsSuspicion, PacketQueue out) {
        long incarnation = members.incarnation(target);
        sendPing(new OutstandingPing(target, self, 0, now, incarnation, confirmsSuspicion), out);
    }

    private void sendPing(OutstandingPing ping, PacketQueue out) {
        int sequence = ++lastSequence;
        outstanding.put(sequence, ping);
        out.add(ping.target, MembershipCodec.encode(new Ping(sequence)));
        disseminator.piggyback(ping.target, out);
    }

    /** Answers a ping with an ack. */
    void onPing(int from, Ping ping, PacketQueue out) {
        sendAck(from, ping.sequence(), out);
    }

    /** Completes a probe, or relays the ack to the member on whose behalf the ping was sent. */
    void onAck(Ack ack, PacketQueue out) {
        OutstandingPing ping = outstanding.remove(ack.sequence());
        if (ping != null && ping.requester != self) {
            sendAck(ping.requester, ping.requesterSequence, out);
        }
    }

    /**
     * Pings the target on behalf of another member. Ignores a target that is not configured or is this gateway itself.
     */
    void onPingRequest(long now, int from, PingRequest request, PacketQueue out) {
        int target = request.target();
        if (target < members.size() && target != self) {
            long incarnation = members.incarnation(target);
            sendPing(new OutstandingPing(target, from, request.sequence(), now, incarnation, false), out);
        }
    }

    private void sendAck(int receiver, int sequence, PacketQueue out) {
        out.add(receiver, MembershipCodec.encode(new Ack(sequence)));
        disseminator.piggyback(receiver, out);
    }
}
