package ploverdale.replication;

import java.util.function.LongSupplier;

/**
 * The time up to which entries may be missing at this gateway: those of before its start that anti-entropy has not brought
 * back, and those that were evicted. An entry later than the bound would be here if it had ever been replicated here; of an
 * earlier one, absence proves nothing. Times are Unix times in tenths of a millisecond. Not thread-safe, used on the
 * thread of {@link Replicas}.
 */
final class CompletenessBound {
    private final ReplicationSettings settings;
    private final LongSupplier unixClock;
    private final ReplicaPlacement placement;
    private final EntryStore store;
    private final SynchronizedPeers peers;
    private long startedAt;

    /** @param startedAt until when what was replicated to this gateway counts as lost */
    CompletenessBound(
            ReplicationSettings settings,
            LongSupplier unixClock,
            ReplicaPlacement placement,
            EntryStore store,
            SynchronizedPeers peers,
            long startedAt) {
        this.settings = settings;
        this.unixClock = unixClock;
        this.placement = placement;
        this.store = store;
        this.peers = peers;
        this.startedAt = startedAt;
    }

    /** The Unix clock was wrong: what was replicated to this gateway until this time counts as lost. */
    void restartAt(long startedAt) {
        this.startedAt = startedAt;
    }

    private boolean hasOtherReplicas() {
        return placement.replicationFactor() > 1;
    }

    /** The bound for keys with these replicas. */
    long of(ReplicaSet replicas) {
        long missed = hasOtherReplicas() ? EntryStore.NOTHING_MISSING : startedAt;
        for (int place = 0; place < replicas.size(); place++) {
            missed = Math.max(missed, peers.missingUntil(replicas.gateway(place)));
        }
        return Math.max(store.missingUntil(), Math.min(startedAt, missed));
    }

    /** The bound for any key. */
    long ofAll() {
        long missed = hasOtherReplicas() ? Math.min(startedAt, peers.missingUntilOfAll()) : startedAt;
        return Math.max(store.missingUntil(), missed);
    }

    /**
     * The position that reads of a session must reach as far as this gateway knows: the one in its store, or the bound
     * where that is later.
     */
    long requiredPosition(long key) {
        long oldestRetained = unixClock.getAsLong() - settings.sessionRetention() - settings.maxClockDifference();
        long least = Math.max(of(placement.of(key)), oldestRetained);
        Position position = store.position(key);
        return position == null ? least : Math.max(position.timestamp(), least);
    }

    /** Whether all writes that may still be submitted again arrived after the bound. */
    boolean coversSubmissions(ReplicaSet replicas) {
        return of(replicas) + settings.resubmissionWindow() + settings.maxClockDifference() < unixClock.getAsLong();
    }
}
