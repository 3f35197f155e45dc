package ploverdale.replication;

/**
 * Which gateways keep a key: those with the highest of a number drawn from key and gateway, the same at every gateway and
 * whoever is alive. So a key's keepers change with the number of gateways only, and two majorities of them always meet, also
 * where a split makes two halves each take the other for dead.
 */
final class ReplicaPlacement {
    private static final int BITS = 10; // of a gateway's number in a word for all keepers of a key
    static final int GATEWAYS_MOST = 1 << BITS;
    static final int COPIES_MOST = 5;

    private final int gateways;
    private final int copies;

    ReplicaPlacement(int gateways, int copies) {
        this.gateways = gateways;
        this.copies = Math.min(gateways, copies);
    }

    int copies() {
        return copies;
    }

    int majority() {
        return copies / 2 + 1;
    }

    /** The keepers of a key, as one word; see {@link #one}. */
    long of(long key) {
        long word = 0;
        for (int place = 0; place < copies; place++) {
            int best = -1;
            long most = 0;
            for (int g = 0; g < gateways; g++) {
                long rank = VersionedEntry.mix(key + (g + 1) * 0x9E3779B97F4A7C15L);
                if (!holds(word, place, g) && (best < 0 || rank > most)) {
                    best = g;
                    most = rank;
                }
            }
            word |= (long) best << BITS * place;
        }
        return word;
    }

    private static boolean holds(long word, int places, int gateway) {
        for (int p = 0; p < places; p++) {
            if (one(word, p) == gateway) {
                return true;
            }
        }
        return false;
    }

    /** One of the keepers that a word holds. */
    static int one(long word, int place) {
        return (int) (word >>> BITS * place) & GATEWAYS_MOST - 1;
    }

    /** Whether a gateway is among them. */
    boolean has(long word, int gateway) {
        return holds(word, copies, gateway);
    }
}
