package ploverdale.quota;

import java.util.OptionalInt;
import java.util.function.IntPredicate;

/**
 * Selects the gateway that succeeds an absent one as the holder of its partition, by rendezvous hashing (Thaler and
 * Ravishankar, 1998): every partition ranks the gateways in its own pseudo-random order, and the first eligible
 * gateway is selected. Gateways that agree on which gateways are alive select the same one without exchanging
 * messages. Where they disagree, the acceptors decide. Stateless.
 */
final class RendezvousHash {
    // Odd 64-bit constants, from the golden ratio and from xxHash: multiplication by them mixes the bits.
    private static final long PARTITION_FACTOR = 0x9E3779B97F4A7C15L;
    private static final long GATEWAY_FACTOR = 0xC2B2AE3D27D4EB4FL;
    private static final long MIX_FACTOR = 0x165667B19E3779F9L;

    private RendezvousHash() {}

    /**
     * Returns the first eligible gateway in the order of a partition, other than the partition's own gateway; empty
     * where none is eligible.
     */
    static OptionalInt successor(int partition, int gateways, IntPredicate eligible) {
        OptionalInt first = OptionalInt.empty();
        long leastRank = Long.MAX_VALUE;
        for (int gateway = 0; gateway < gateways; gateway++) {
            if (gateway == partition || !eligible.test(gateway)) {
                continue;
            }
            long rank = rank(partition, gateway);
            if (rank < leastRank) {
                leastRank = rank;
                first = OptionalInt.of(gateway);
            }
        }
        return first;
    }

    private static long rank(int partition, int gateway) {
        return (partition * PARTITION_FACTOR ^ gateway * GATEWAY_FACTOR) * MIX_FACTOR >>> 1;
    }
}
