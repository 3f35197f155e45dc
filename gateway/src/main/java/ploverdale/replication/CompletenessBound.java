package ploverdale.replication;

import java.util.function.LongSupplier;

/**
 * Computes the time up to which entries may be missing at this gateway. Missing are entries from before its start
 * that anti-entropy has not restored yet, and entries that were evicted. An entry with a later timestamp would be in
 * the store if it had ever been replicated to this gateway; the absence of an earlier entry proves nothing. Times are
 * Unix times in tenths of a millisecond. Not thread-safe: used on the thread of {@link Replicas}.
 */
final class CompletenessBound {
    private final ReplicationSettings settings;
    private final LongSupplier unixClock;
    private final ReplicaPlacement placement;
    private final EntryStore store;
    private final SynchronizedPeers peers;
    private long startedAt;

    /**
     * @param startedAt entries replicated to this gateway up to this time count as lost until a peer has returned
     *     them
     */
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

    /**
     * Called when the Unix clock turned out to be wrong.
     *
     * @param startedAt entries replicated to this gateway up to this time count as lost
     */
    void setStartedAt(long startedAt) {
        this.startedAt = startedAt;
    }

    /** Whether keys have replicas at other gateways, from which lost entries can be restored. */
    private boolean hasOtherReplicas() {
        return placement.replicationFactor() > 1;
    }

    /** Returns the bound for keys with these replicas. */
    long of(ReplicaSet replicas) {
        long unrestoredUntil = hasOtherReplicas() ? EntryStore.NOTHING_MISSING : startedAt;
        for (int replicaIndex = 0; replicaIndex < replicas.size(); replicaIndex++) {
            unrestoredUntil = Math.max(unrestoredUntil, peers.missingUntil(replicas.gateway(replicaIndex)));
        }
        return Math.max(store.missingUntil(), Math.min(startedAt, unrestoredUntil));
    }

    /** Returns a bound that holds for every key. */
    long ofAll() {
        long unrestoredUntil = hasOtherReplicas() ? Math.min(startedAt, peers.missingUntilOfAll()) : startedAt;
        return Math.max(store.missingUntil(), unrestoredUntil);
    }

    /**
     * Returns the position that reads of a session must reach as far as this gateway knows: the one in its store, or
     * the bound if that is later.
     */
    long requiredPosition(long key) {
        long oldestRetained = unixClock.getAsLong() - settings.sessionRetention() - settings.maxClockDifference();
        long lowerBound = Math.max(of(placement.of(key)), oldestRetained);
        Position position = store.position(key);
        return position == null ? lowerBound : Math.max(position.timestamp(), lowerBound);
    }

    /** Whether every write that a client may still submit again arrived after the bound. */
    boolean coversSubmissions(ReplicaSet replicas) {
        return of(replicas) + settings.resubmissionWindow() + settings.maxClockDifference() < unixClock.getAsLong();
    }
}
