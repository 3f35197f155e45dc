package ploverdale.replication;

/**
 * Chooses the replicas of a key by rendezvous hashing (Thaler and Ravishankar, 1998): the gateways with the highest
 * hashes of key and gateway. Every gateway computes the same set, no matter which gateways are alive, so the set
 * changes only with the configured number of gateways. Hence any two quorums intersect, even if each half of a
 * partitioned fleet considers the other half dead. Immutable.
 */
final class ReplicaPlacement {
    /** 2^64 divided by the golden ratio; spreads the gateways' numbers over 64 bits. */
    private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

    private static final int NO_GATEWAY = -1;

    private final int gateways;
    private final int replicationFactor;

    /** @param replicationFactor replicas of each key; every gateway, if there are fewer of them */
    ReplicaPlacement(int gateways, int replicationFactor) {
        this.gateways = gateways;
        this.replicationFactor = Math.min(gateways, replicationFactor);
    }

    /** Returns the number of replicas of each key. */
    int replicationFactor() {
        return replicationFactor;
    }

    /** Returns the replicas of a key, in the order of their rank. */
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

    /** Returns the set whose packed form is given, see {@link ReplicaSet#packed}. */
    ReplicaSet unpack(long packed) {
        return new ReplicaSet(packed, replicationFactor);
    }
}
