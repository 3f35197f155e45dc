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
    /** Stands for the place of a gateway that is not one of the replicas. */
    static final int NO_PLACE = -1;

    static final ReplicaSet EMPTY = new ReplicaSet(0, 0);

    /** Returns this set with one more gateway in the last place. */
    ReplicaSet plus(int gateway) {
        return new ReplicaSet(packed | (long) gateway << GATEWAY_BITS * size, size + 1);
    }

    /** Returns the gateway in a place between 0 and {@link #size}, exclusive. */
    int gateway(int place) {
        return (int) (packed >>> GATEWAY_BITS * place) & MAX_GATEWAYS - 1;
    }

    /** Returns the place of a gateway, or {@link #NO_PLACE}. */
    int placeOf(int gateway) {
        for (int place = 0; place < size; place++) {
            if (gateway(place) == gateway) {
                return place;
            }
        }
        return NO_PLACE;
    }

    boolean contains(int gateway) {
        return placeOf(gateway) != NO_PLACE;
    }

    /** Returns the number of replicas that form a quorum; any two quorums of one set have a replica in common. */
    int majority() {
        return size / 2 + 1;
    }
}
