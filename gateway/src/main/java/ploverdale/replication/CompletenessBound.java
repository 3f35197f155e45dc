package ploverdale.replication;

import java.util.function.LongSupplier;

/**
 * Up to when facts may be missing here: those of before this process started that anti-entropy has not brought back,
 * and those that were evicted. A fact later than the bound would be here if it was ever copied here; of an earlier
 * one, its absence proves nothing. All times are Unix times in tenths of a millisecond. Not thread-safe, used on the
 * thread of {@link Replicas}.
 */
final class CompletenessBound {
    private static final long NOTHING_MISSING = Long.MIN_VALUE / 2;

    private final ReplicationSettings keeping;
    private final LongSupplier wall;
    private final ReplicaPlacement placement;
    private final EntryStore store;
    private final AntiEntropy catchUp;
    private long startedAt;

    /** @param startedAt what was copied to this gateway's name before it is lost */
    CompletenessBound(
            ReplicationSettings keeping,
            LongSupplier wall,
            ReplicaPlacement placement,
            EntryStore store,
            AntiEntropy catchUp,
            long startedAt) {
        this.keeping = keeping;
        this.wall = wall;
        this.placement = placement;
        this.store = store;
        this.catchUp = catchUp;
        this.startedAt = startedAt;
    }

    /** The Unix clock was off: what was copied to this gateway until this time cannot be vouched for. */
    void startsAnew(long startedAt) {
        this.startedAt = startedAt;
    }

    private boolean hasOtherReplicas() {
        return placement.copies() > 1;
    }

    /** The bound for keys with these replicas, see {@link ReplicaPlacement#of}. */
    long of(long replicas) {
        long missed = hasOtherReplicas() ? NOTHING_MISSING : startedAt;
        for (int place = 0; place < placement.copies(); place++) {
            missed = Math.max(missed, catchUp.blankOf(ReplicaPlacement.one(replicas, place)));
        }
        return Math.max(store.blank(), Math.min(startedAt, missed));
    }

    /** The bound for any key, as told to a gateway that takes copies from here. */
    long ofAll() {
        long missed = hasOtherReplicas() ? Math.min(startedAt, catchUp.blankOfAll()) : startedAt;
        return Math.max(store.blank(), missed);
    }

    /**
     * The position that reads of a session must reach as far as this gateway knows: what is held, or the bound where
     * a later one is not.
     */
    long requiredPosition(long key, long replicas) {
        long oldest = wall.getAsLong() - keeping.sessionsFor() - keeping.clocksApart();
        long least = Math.max(of(replicas), oldest);
        return store.of(key) instanceof Position held ? Math.max(held.at(), least) : least;
    }

    /** Whether each write that may still be submitted again is later than the bound. */
    boolean coversSubmissions(long replicas) {
        return of(replicas) + keeping.submitsFor() + keeping.clocksApart() < wall.getAsLong();
    }
}
