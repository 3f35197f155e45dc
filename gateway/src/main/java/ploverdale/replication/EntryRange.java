package ploverdale.replication;

import java.util.Arrays;

/**
 * The entries of one range of keys, sorted by key. Uses parallel arrays rather than a map, since a store may hold
 * hundreds of thousands of entries. Not thread-safe.
 */
final class EntryRange {
    private static final int INITIAL_CAPACITY = 4;
    private static final long[] NO_KEYS = {};
    private static final VersionedEntry[] NO_ENTRIES = {};

    private long[] keys = NO_KEYS;
    private long[] packedReplicas = NO_KEYS;
    private VersionedEntry[] entries = NO_ENTRIES;
    private int size;

    int size() {
        return size;
    }

    /**
     * Returns the index of a key; if it is absent, a negative number as of {@link Arrays#binarySearch(long[], long)}.
     */
    int indexOf(long key) {
        return Arrays.binarySearch(keys, 0, size, key);
    }

    long key(int index) {
        return keys[index];
    }

    /** Returns the replicas of the key, see {@link ReplicaSet#packed}. */
    long packedReplicas(int index) {
        return packedReplicas[index];
    }

    VersionedEntry entry(int index) {
        return entries[index];
    }

    void replace(int index, VersionedEntry entry) {
        entries[index] = entry;
    }

    /** Inserts an entry whose key is not in the range yet. */
    void insert(long key, long replicas, VersionedEntry entry) {
        if (size == keys.length) {
            grow();
        }
        int index = -1 - indexOf(key);
        int tailLength = size - index;
        System.arraycopy(keys, index, keys, index + 1, tailLength);
        System.arraycopy(packedReplicas, index, packedReplicas, index + 1, tailLength);
        System.arraycopy(entries, index, entries, index + 1, tailLength);
        keys[index] = key;
        packedReplicas[index] = replicas;
        entries[index] = entry;
        size++;
    }

    private void grow() {
        int capacity = size == 0 ? INITIAL_CAPACITY : size + size / 2 + 1;
        keys = Arrays.copyOf(keys, capacity);
        packedReplicas = Arrays.copyOf(packedReplicas, capacity);
        entries = Arrays.copyOf(entries, capacity);
    }

    void remove(int index) {
        size--;
        int tailLength = size - index;
        System.arraycopy(keys, index + 1, keys, index, tailLength);
        System.arraycopy(packedReplicas, index + 1, packedReplicas, index, tailLength);
        System.arraycopy(entries, index + 1, entries, index, tailLength);
        entries[size] = null;
    }

    /**
     * Returns the index of the entry with the earliest timestamp, the first of several. The range must not be empty.
     */
    int indexOfOldest() {
        int oldest = 0;
        for (int index = 1; index < size; index++) {
            if (entries[index].timestamp() < entries[oldest].timestamp()) {
                oldest = index;
            }
        }
        return oldest;
    }
}
