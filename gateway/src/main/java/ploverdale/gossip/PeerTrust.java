package ploverdale.gossip;

import java.util.Arrays;

/**
 * The trust in the roles that each peer reports, from 0 to 1. It falls when a reported role turns out wrong, rises when
 * one turns out right, and recovers to 1 over time. Times in tenths of a millisecond.
 */
final class PeerTrust {
    private static final long TICKS_PER_MS = 10;
    /** Factor by which a wrong role reduces the trust. */
    private static final double PENALTY_FACTOR = 0.5;
    /** Fraction of the missing trust that a right role restores. */
    private static final double REWARD_FRACTION = 0.1;
    /** Time constant of the exponential recovery to 1. */
    private static final double RECOVERY_TIME = 60_000 * TICKS_PER_MS;
    /** Below this trust, the roles that a peer reports are ignored. */
    private static final double MIN_TRUST = 0.2;
    /** Maximum time by which a reported role is made older; scaled by the missing trust. */
    private static final long MAX_ROLE_DISCOUNT = 1000 * TICKS_PER_MS;

    private final double[] trust;
    private final long[] updatedAt;

    /**
     * Starts with full trust in all peers.
     *
     * @param gatewayCount the number of gateways
     */
    PeerTrust(int gatewayCount) {
        trust = new double[gatewayCount];
        updatedAt = new long[gatewayCount];
        Arrays.fill(trust, 1);
    }

    /** Returns the trust in a peer at a time, from 0 to 1. */
    double trustAt(long now, int peer) {
        double missing = (1 - trust[peer]) * Math.exp(-(now - updatedAt[peer]) / RECOVERY_TIME);
        trust[peer] = 1 - missing;
        updatedAt[peer] = now;
        return trust[peer];
    }

    /**
     * Called when a server itself has confirmed or refuted a role that the peer reported.
     *
     * @param correct whether the reported role was correct
     */
    void rate(long now, int peer, boolean correct) {
        double previous = trustAt(now, peer);
        trust[peer] = correct ? previous + REWARD_FRACTION * (1 - previous) : previous * PENALTY_FACTOR;
    }

    /** Returns the peer's observation with its role made older by the missing trust, or without its role. */
    ServerObservation discount(long now, int peer, ServerObservation observation) {
        double currentTrust = trustAt(now, peer);
        return currentTrust < MIN_TRUST
                ? observation.withoutRole()
                : observation.withRoleOlder((long) ((1 - currentTrust) * MAX_ROLE_DISCOUNT));
    }
}
