package ploverdale.replication;

/**
 * The entries of this gateway, by key. The order of keys is cut into {@value #RANGES} equal ranges, which {@link
 * AntiEntropy} compares by digests. Bounded: over the maximum, the oldest entry of the new key's range is evicted. Expired
 * entries are removed in the background, some ranges at a time. Times are Unix times in tenths of a millisecond. Not
 * thread-safe, used on the thread of {@link Replicas}.
 */
final class EntryStore {
    static final int RANGES = 4096;
    /** Of {@link #missingUntil}: nothing was evicted. */
    static final long NOTHING_MISSING = Long.MIN_VALUE / 2;

    private static final int RANGE_SHIFT = 52; // the highest 12 bits of a key number its range
    private static final int RANGES_PER_SWEEP = 16; // all within some seconds

    private final ReplicationSettings settings;
    private final ReplicaPlacement placement;
    private final EntryRange[] ranges = new EntryRange[RANGES];
    private int size;
    private int lastSwept;
    private long missingUntil = NOTHING_MISSING;
    private long evicted;

    /** Takes one entry of a range. */
    interface Visitor {
        void visit(long key, VersionedEntry entry);
    }

    /** Selects the entries that two gateways both replicate and that are not expired at a time. */
    record SharedEntries(int gateway, int peer, long unexpiredAt) {}

    /** An empty store. */
    EntryStore(ReplicationSettings settings, ReplicaPlacement placement) {
        this.settings = settings;
        this.placement = placement;
        for (int range = 0; range < RANGES; range++) {
            ranges[range] = new EntryRange();
        }
    }

    private static int rangeOf(long key) {
        return (int) (key >>> RANGE_SHIFT);
    }

    /** Number of entries. */
    int size() {
        return size;
    }

    /** The latest timestamp of an evicted entry: of what is no later, absence here proves nothing. */
    long missingUntil() {
        return missingUntil;
    }

    /** Entries evicted since the start. */
    long evicted() {
        return evicted;
    }

    /** The entry of a key, or null. */
    VersionedEntry get(long key) {
        EntryRange range = ranges[rangeOf(key)];
        int index = range.indexOf(key);
        return index < 0 ? null : range.entry(index);
    }

    /** The position of a session, or null. */
    Position position(long key) {
        return get(key) instanceof Position position ? position : null;
    }

    /** What is known of a write, or null. */
    WriteOutcome writeOutcome(long key) {
        return get(key) instanceof WriteOutcome outcome ? outcome : null;
    }

    /** Merges an entry into that of its key; false where that changes nothing. */
    boolean merge(long unixTime, long key, VersionedEntry entry) {
        if (entry.isExpired(settings, unixTime)) {
            return false; // a late copy must not revive what other replicas have removed
        }
        EntryRange range = ranges[rangeOf(key)];
        int index = range.indexOf(key);
        if (index >= 0) {
            VersionedEntry merged = range.entry(index).merge(entry);
            boolean changed = !merged.equals(range.entry(index));
            range.replace(index, merged);
            return changed;
        }
        if (size >= settings.maxEntries()) {
            evictOldest(rangeOf(key));
        }
        range.insert(key, placement.of(key).packed(), entry);
        size++;
        return true;
    }

    /** Evicts the oldest entry of a range, or of the next one that is not empty. */
    private void evictOldest(int first) {
        int number = first;
        while (ranges[number].size() == 0) {
            number = (number + 1) % RANGES;
        }
        EntryRange range = ranges[number];
        int oldest = range.indexOfOldest();
        missingUntil = Math.max(missingUntil, range.entry(oldest).timestamp());
        evicted++;
        range.remove(oldest);
        size--;
    }

    /** Removes expired entries of the next few ranges. */
    void sweep(long unixTime) {
        for (int swept = 0; swept < RANGES_PER_SWEEP; swept++) {
            lastSwept = (lastSwept + 1) % RANGES;
            removeExpired(ranges[lastSwept], unixTime);
        }
    }

    private void removeExpired(EntryRange range, long unixTime) {
        for (int index = range.size() - 1; index >= 0; index--) {
            if (range.entry(index).isExpired(settings, unixTime)) {
                range.remove(index);
                size--;
            }
        }
    }

    private boolean isSelected(EntryRange range, int index, SharedEntries selection) {
        ReplicaSet replicas = placement.unpack(range.packedReplicas(index));
        return replicas.contains(selection.gateway)
                && replicas.contains(selection.peer)
                && !range.entry(index).isExpired(settings, selection.unexpiredAt);
    }

    /** A digest of the selected entries of ranges from one up to another, exclusive; independent of their order. */
    long digest(int fromRange, int toRange, SharedEntries selection, long salt) {
        long digest = 0;
        for (int number = fromRange; number < toRange; number++) {
            EntryRange range = ranges[number];
            for (int index = 0; index < range.size(); index++) {
                if (isSelected(range, index, selection)) {
                    digest += Hashing.mix(
                            range.key(index) ^ salt ^ range.entry(index).hash());
                }
            }
        }
        return digest;
    }

    /** Visits the selected entries of a range after a key, in the order of keys; of a null key, all. */
    void forEach(int number, Long afterKey, SharedEntries selection, Visitor visitor) {
        EntryRange range = ranges[number];
        for (int index = 0; index < range.size(); index++) {
            boolean follows = afterKey == null || range.key(index) > afterKey;
            if (follows && isSelected(range, index, selection)) {
                visitor.visit(range.key(index), range.entry(index));
            }
        }
    }
}
