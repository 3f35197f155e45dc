package ploverdale.replication;

import java.util.Arrays;

/**
 * The entries of one range of keys, in the order of their keys. Parallel arrays rather than a map, since a store may hold
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

    /** Number of entries. */
    int size() {
        return size;
    }

    /** The index of a key; where it is absent, a negative number as of {@link Arrays#binarySearch(long[], long)}. */
    int indexOf(long key) {
        return Arrays.binarySearch(keys, 0, size, key);
    }

    /** The key of an entry. */
    long key(int index) {
        return keys[index];
    }

    /** The replicas of the key, see {@link ReplicaSet#packed}. */
    long packedReplicas(int index) {
        return packedReplicas[index];
    }

    /** An entry by its index. */
    VersionedEntry entry(int index) {
        return entries[index];
    }

    /** Replaces the entry of a key that is present. */
    void replace(int index, VersionedEntry entry) {
        entries[index] = entry;
    }

    /** Inserts an absent key in its place. */
    void insert(long key, long replicas, VersionedEntry entry) {
        if (size == keys.length) {
            grow();
        }
        int index = -1 - indexOf(key);
        int moved = size - index;
        System.arraycopy(keys, index, keys, index + 1, moved);
        System.arraycopy(packedReplicas, index, packedReplicas, index + 1, moved);
        System.arraycopy(entries, index, entries, index + 1, moved);
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

    /** Removes a key and its entry. */
    void remove(int index) {
        size--;
        int moved = size - index;
        System.arraycopy(keys, index + 1, keys, index, moved);
        System.arraycopy(packedReplicas, index + 1, packedReplicas, index, moved);
        System.arraycopy(entries, index + 1, entries, index, moved);
        entries[size] = null;
    }

    /** The index of the entry with the earliest timestamp, the first of several; the range must not be empty. */
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
