package ploverdale.gossip;

import java.util.Arrays;

/**
 * How far each peer is believed on roles, from 0 to 1. It falls when a role that a peer has reported turns out wrong, rises
 * when one turns out right, and returns to 1 with time. Times in tenths of a millisecond.
 */
final class PeerTrust {
    private static final long MS = 10;
    /** What is left of the trust after a wrong role. */
    private static final double PENALTY_FACTOR = 0.5;
    /** The part of the missing trust that a right role restores. */
    private static final double REWARD_FRACTION = 0.1;
    /** Time constant of the return to 1. */
    private static final double RECOVERY_TIME = 60_000 * MS;
    /** Below it the roles of a peer are ignored. */
    private static final double MIN_TRUST = 0.2;
    /** How much older a role counts for lack of trust: by this much where there is none at all. */
    private static final long MAX_ROLE_DISCOUNT = 1000 * MS;

    private final double[] trust;
    private final long[] updatedAt;

    /** Trusts all peers fully, as many as there are gateways. */
    PeerTrust(int size) {
        trust = new double[size];
        updatedAt = new long[size];
        Arrays.fill(trust, 1);
    }

    /** The trust in a peer. */
    double at(long now, int peer) {
        double missing = (1 - trust[peer]) * Math.exp(-(now - updatedAt[peer]) / RECOVERY_TIME);
        trust[peer] = 1 - missing;
        updatedAt[peer] = now;
        return trust[peer];
    }

    /** A role that the peer has reported was confirmed or refuted by the server itself. */
    void rate(long now, int peer, boolean right) {
        double before = at(now, peer);
        trust[peer] = right ? before + REWARD_FRACTION * (1 - before) : before * PENALTY_FACTOR;
    }

    /** An observation of a peer, its role weakened by the lack of trust. */
    ServerObservation discount(long now, int peer, ServerObservation observation) {
        double current = at(now, peer);
        return current < MIN_TRUST
                ? observation.withoutRole()
                : observation.withRoleOlder((long) ((1 - current) * MAX_ROLE_DISCOUNT));
    }
}
