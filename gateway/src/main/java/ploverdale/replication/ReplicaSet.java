package ploverdale.replication;

/**
 * The gateways that replicate a key, in the order of their rank for it. Packed into one {@code long}, so that {@link
 * EntryStore} can hold a set for each entry at little cost.
 *
 * @param packed the gateways' numbers, {@value #GATEWAY_BITS} bits each, the first one in the lowest bits
 * @param size number of replicas
 */
record ReplicaSet(long packed, int size) {
    private static final int GATEWAY_BITS = 10;
    static final int MAX_GATEWAYS = 1 << GATEWAY_BITS;
    /** Six would fit into 64 bits, but a sixth replica costs messages and lets a quorum survive no more failures. */
    static final int MAX_SIZE = 5;
    /** Stands for the index of a gateway that is not one of the replicas. */
    static final int NOT_A_REPLICA = -1;

    static final ReplicaSet EMPTY = new ReplicaSet(0, 0);

    /** Returns this set with one more gateway, ranked last. */
    ReplicaSet plus(int gateway) {
        return new ReplicaSet(packed | (long) gateway << GATEWAY_BITS * size, size + 1);
    }

    /** Returns the gateway with an index between 0 and {@link #size}, exclusive. */
    int gateway(int index) {
        return (int) (packed >>> GATEWAY_BITS * index) & MAX_GATEWAYS - 1;
    }

    /** Returns the index of a gateway in this set, or {@link #NOT_A_REPLICA}. */
    int indexOf(int gateway) {
        for (int index = 0; index < size; index++) {
            if (gateway(index) == gateway) {
                return index;
            }
        }
        return NOT_A_REPLICA;
    }

    boolean contains(int gateway) {
        return indexOf(gateway) != NOT_A_REPLICA;
    }

    /** Returns the number of replicas that form a quorum; any two quorums of one set have a replica in common. */
    int majority() {
        return size / 2 + 1;
    }
}
