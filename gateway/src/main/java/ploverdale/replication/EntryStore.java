package ploverdale.replication;

import java.util.Arrays;
import java.util.function.LongUnaryOperator;

/**
 * Facts by key, in an order of keys that is cut into {@value #BUCKETS} equal ranges, so that ranges can be compared by
 * digests. Bounded: over the most, the oldest fact of the newcomer's range goes. Facts go too when their time is over. What
 * may have gone before its time is told by {@link #blank}.
 */
final class EntryStore {
    static final int BUCKETS = 4096;
    private static final int SHIFT = 52;
    private static final int SWEEP = 16; // ranges a look; all in some seconds

    private final long[][] keys = new long[BUCKETS][];
    private final long[][] keepers = new long[BUCKETS][];
    private final VersionedEntry[][] facts = new VersionedEntry[BUCKETS][];
    private final int[] sizes = new int[BUCKETS];
    private final int most;
    private final LongUnaryOperator keepersOf;
    private final Forgetting forgetting;
    private int size;
    private int sweep;
    private long blank = Long.MIN_VALUE / 2;
    private long evicted;

    /** When a fact is of no use any more. */
    interface Forgetting {
        boolean isOver(VersionedEntry fact, long wall);
    }

    /** Takes one fact of a range. */
    interface Each {
        void fact(long key, VersionedEntry fact);
    }

    EntryStore(int most, LongUnaryOperator keepersOf, Forgetting forgetting) {
        this.most = most;
        this.keepersOf = keepersOf;
        this.forgetting = forgetting;
    }

    static int bucket(long key) {
        return (int) (key >>> SHIFT);
    }

    int size() {
        return size;
    }

    /** The latest moment of a fact that went before its time. */
    long blank() {
        return blank;
    }

    /** Facts that went before their time. */
    long evicted() {
        return evicted;
    }

    private int find(int b, long key) {
        return keys[b] == null ? -1 : Arrays.binarySearch(keys[b], 0, sizes[b], key);
    }

    VersionedEntry of(long key) {
        int b = bucket(key);
        int i = find(b, key);
        return i < 0 ? null : facts[b][i];
    }

    /** Joins a fact with what is held; false where that changes nothing. */
    boolean join(long wall, long key, VersionedEntry fact) {
        if (forgetting.isOver(fact, wall)) {
            return false; // a late copy does not revive what all have forgotten
        }
        int b = bucket(key);
        int i = find(b, key);
        if (i >= 0) {
            VersionedEntry both = facts[b][i].join(fact);
            boolean changed = !both.equals(facts[b][i]);
            facts[b][i] = both;
            return changed;
        }
        if (size >= most) {
            evict(b);
            i = find(b, key);
        }
        insert(b, -1 - i, key, fact);
        return true;
    }

    private void insert(int b, int at, long key, VersionedEntry fact) {
        int n = sizes[b];
        if (keys[b] == null || n == keys[b].length) {
            int room = n == 0 ? 4 : n + n / 2 + 1;
            keys[b] = keys[b] == null ? new long[room] : Arrays.copyOf(keys[b], room);
            keepers[b] = keepers[b] == null ? new long[room] : Arrays.copyOf(keepers[b], room);
            facts[b] = facts[b] == null ? new VersionedEntry[room] : Arrays.copyOf(facts[b], room);
        }
        System.arraycopy(keys[b], at, keys[b], at + 1, n - at);
        System.arraycopy(keepers[b], at, keepers[b], at + 1, n - at);
        System.arraycopy(facts[b], at, facts[b], at + 1, n - at);
        keys[b][at] = key;
        keepers[b][at] = keepersOf.applyAsLong(key);
        facts[b][at] = fact;
        sizes[b]++;
        size++;
    }

    private void remove(int b, int at) {
        int n = --sizes[b];
        size--;
        System.arraycopy(keys[b], at + 1, keys[b], at, n - at);
        System.arraycopy(keepers[b], at + 1, keepers[b], at, n - at);
        System.arraycopy(facts[b], at + 1, facts[b], at, n - at);
        facts[b][n] = null;
    }

    /** The oldest of that range, or of the next one that has any, makes way. */
    private void evict(int bucket) {
        int b = bucket;
        while (sizes[b] == 0) {
            b = (b + 1) % BUCKETS;
        }
        int oldest = 0;
        for (int i = 1; i < sizes[b]; i++) {
            oldest = facts[b][i].at() < facts[b][oldest].at() ? i : oldest;
        }
        blank = Math.max(blank, facts[b][oldest].at());
        evicted++;
        remove(b, oldest);
    }

    /** Lets go what is over, some ranges at a time. */
    void sweep(long wall) {
        for (int n = 0; n < SWEEP; n++) {
            int b = sweep = (sweep + 1) % BUCKETS;
            for (int i = sizes[b] - 1; i >= 0; i--) {
                if (forgetting.isOver(facts[b][i], wall)) {
                    remove(b, i);
                }
            }
        }
    }

    /** Stands for all facts of these ranges that such gateways keep and that last beyond a moment. */
    long digest(int fromBucket, int toBucket, ReplicaPlacement all, int one, int other, long salt, long until) {
        long sum = 0;
        for (int b = fromBucket; b < toBucket; b++) {
            for (int i = 0; i < sizes[b]; i++) {
                if (all.has(keepers[b][i], one)
                        && all.has(keepers[b][i], other)
                        && !forgetting.isOver(facts[b][i], until)) {
                    sum += VersionedEntry.mix(keys[b][i] ^ salt ^ facts[b][i].hash());
                }
            }
        }
        return sum;
    }

    /** The same facts of one range, those after a key, in order; a null key: all. */
    void each(int bucket, Long after, ReplicaPlacement all, int one, int other, long until, Each each) {
        for (int i = 0; i < sizes[bucket]; i++) {
            boolean next = after == null || keys[bucket][i] > after;
            if (next
                    && all.has(keepers[bucket][i], one)
                    && all.has(keepers[bucket][i], other)
                    && !forgetting.isOver(facts[bucket][i], until)) {
                each.fact(keys[bucket][i], facts[bucket][i]);
            }
        }
    }
}
