package ploverdale.replication;

/**
 * This gateway's entries, by key. The key space is divided into {@value #RANGES} equal ranges, which {@link
 * AntiEntropy} compares by digests. At its maximum size the store evicts the oldest entry of the new key's range for
 * each new key. Expired entries are removed in the background, a few ranges at a time. Times are Unix times in tenths
 * of a millisecond. Not thread-safe: used on the thread of {@link Replicas}.
 */
final class EntryStore {
    static final int RANGES = 4096;
    /** Value of a time up to which entries may be missing, if none is. */
    static final long NOTHING_MISSING = Long.MIN_VALUE / 2;

    private static final int RANGE_SHIFT = 52; // the highest 12 bits of a key are the number of its range
    private static final int RANGES_PER_SWEEP = 16; // covers all ranges within a few seconds

    private final ReplicationSettings settings;
    private final ReplicaPlacement placement;
    private final EntryRange[] ranges = new EntryRange[RANGES];
    private int size;
    private int lastSwept;
    private long missingUntil = NOTHING_MISSING;
    private long evicted;

    /** Receives the entries of a range one by one. */
    interface Visitor {
        void visit(long key, VersionedEntry entry);
    }

    /** Selects the entries that both gateways replicate and that are not expired at a Unix time. */
    record SharedEntries(int gateway, int peer, long unexpiredAt) {}

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

    /** Returns the number of entries. */
    int size() {
        return size;
    }

    /**
     * Returns the latest timestamp of an evicted entry, or {@link #NOTHING_MISSING}. The absence of an entry up to
     * this time proves nothing.
     */
    long missingUntil() {
        return missingUntil;
    }

    /** Returns the number of entries evicted since the start. */
    long evicted() {
        return evicted;
    }

    /** Returns the entry of a key, or null. */
    VersionedEntry get(long key) {
        EntryRange range = ranges[rangeOf(key)];
        int index = range.indexOf(key);
        return index < 0 ? null : range.entry(index);
    }

    /** Returns the position of a session, or null. */
    Position position(long key) {
        return get(key) instanceof Position position ? position : null;
    }

    /** Returns what is known of a write, or null. */
    WriteOutcome writeOutcome(long key) {
        return get(key) instanceof WriteOutcome outcome ? outcome : null;
    }

    /** Merges an entry into the stored entry of its key. Returns whether that changed the store. */
    boolean merge(long unixTime, long key, VersionedEntry entry) {
        if (entry.isExpired(settings, unixTime)) {
            return false; // a delayed message must not bring back an entry that other replicas have removed
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

    /** Evicts the oldest entry of the given range, or of the next range that is not empty. */
    private void evictOldest(int firstRange) {
        int rangeNumber = firstRange;
        while (ranges[rangeNumber].size() == 0) {
            rangeNumber = (rangeNumber + 1) % RANGES;
        }
        EntryRange range = ranges[rangeNumber];
        int oldest = range.indexOfOldest();
        missingUntil = Math.max(missingUntil, range.entry(oldest).timestamp());
        evicted++;
        range.remove(oldest);
        size--;
    }

    /** Removes the expired entries of the next few ranges. */
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

    /**
     * Returns a digest of the selected entries of several ranges, independent of the order of the entries.
     *
     * @param fromRange the first range
     * @param toRange the range after the last one
     */
    long digest(int fromRange, int toRange, SharedEntries selection, long salt) {
        long digest = 0;
        for (int rangeNumber = fromRange; rangeNumber < toRange; rangeNumber++) {
            EntryRange range = ranges[rangeNumber];
            for (int index = 0; index < range.size(); index++) {
                if (isSelected(range, index, selection)) {
                    digest += Hashing.mix(
                            range.key(index) ^ salt ^ range.entry(index).hash());
                }
            }
        }
        return digest;
    }

    /**
     * Visits the selected entries of a range in the order of their keys.
     *
     * @param rangeNumber of the range
     * @param afterKey only entries with greater keys are visited; all of them if null
     */
    void forEach(int rangeNumber, Long afterKey, SharedEntries selection, Visitor visitor) {
        EntryRange range = ranges[rangeNumber];
        for (int index = 0; index < range.size(); index++) {
            boolean follows = afterKey == null || range.key(index) > afterKey;
            if (follows && isSelected(range, index, selection)) {
                visitor.visit(range.key(index), range.entry(index));
            }
        }
    }
}
