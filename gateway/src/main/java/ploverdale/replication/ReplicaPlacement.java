package ploverdale.replication;

/**
 * Chooses the replicas of a key by rendezvous hashing (Thaler and Ravishankar, 1998): the gateways with the highest
 * hashes of key and gateway. Each gateway computes the same set, whoever is alive; so the set of a key changes only with
 * the configured number of gateways, and two quorums always intersect, also where each half of a partitioned fleet takes
 * the other for dead. Immutable.
 */
final class ReplicaPlacement {
    private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L; // spreads gateways' numbers over 64 bits
    private static final int NO_GATEWAY = -1;

    private final int gateways;
    private final int replicationFactor;

    /** @param replicationFactor replicas of each key; of fewer gateways, all */
    ReplicaPlacement(int gateways, int replicationFactor) {
        this.gateways = gateways;
        this.replicationFactor = Math.min(gateways, replicationFactor);
    }

    /** Replicas of each key. */
    int replicationFactor() {
        return replicationFactor;
    }

    /** The replicas of a key. */
    ReplicaSet of(long key) {
        ReplicaSet chosen = ReplicaSet.EMPTY;
        while (chosen.size() < replicationFactor) {
            chosen = chosen.plus(highestRanked(key, chosen));
        }
        return chosen;
    }

    private int highestRanked(long key, ReplicaSet excluded) {
        int best = NO_GATEWAY;
        long bestRank = 0;
        for (int gateway = 0; gateway < gateways; gateway++) {
            long rank = Hashing.mix(key + (gateway + 1) * GOLDEN_RATIO);
            if (!excluded.contains(gateway) && (best == NO_GATEWAY || rank > bestRank)) {
                best = gateway;
                bestRank = rank;
            }
        }
        return best;
    }

    /** The set that a packed one stands for, see {@link ReplicaSet#packed}. */
    ReplicaSet unpack(long packed) {
        return new ReplicaSet(packed, replicationFactor);
    }
}
