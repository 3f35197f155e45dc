package ploverdale.replication;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import ploverdale.replication.ReplicationMessage.ClaimRequest;
import ploverdale.replication.ReplicationMessage.ClaimResponse;
import ploverdale.replication.ReplicationMessage.PositionRequest;
import ploverdale.replication.ReplicationMessage.PositionResponse;
import ploverdale.replication.ReplicationMessage.WriteRequest;
import ploverdale.replication.ReplicationMessage.WriteResponse;

/**
 * The role of this gateway as a replica of keys: merges entries, answers reads of positions and grants claims, by its
 * store and by the {@link CompletenessBound}. Not thread-safe: used on the thread of {@link Replicas}.
 */
final class LocalReplica {
    private final LongSupplier unixClock;
    private final ReplicaPlacement placement;
    private final EntryStore store;
    private final CompletenessBound bound;
    private final Consumer<String> log;
    private long alarms;

    /**
     * @param unixClock returns Unix times in tenths of a millisecond
     * @param log receives lines for the log
     */
    LocalReplica(
            LongSupplier unixClock,
            ReplicaPlacement placement,
            EntryStore store,
            CompletenessBound bound,
            Consumer<String> log) {
        this.unixClock = unixClock;
        this.placement = placement;
        this.store = store;
        this.bound = bound;
        this.log = log;
    }

    /** Returns the number of writes for which contradicting proofs were found since the start. */
    long alarms() {
        return alarms;
    }

    /** Returns what this replica knows of a write, or null. */
    WriteOutcome outcomeOf(long key) {
        return store.writeOutcome(key);
    }

    /** Returns the server that executed a session's last known write, or {@link Position#NO_SERVER}. */
    int serverOf(long key) {
        Position position = store.position(key);
        return position == null ? Position.NO_SERVER : position.server();
    }

    /** Returns the position that reads of a session must reach as far as this replica knows. */
    long requiredPosition(long key) {
        return bound.requiredPosition(key);
    }

    /** Merges an entry into the stored entry of its key, and raises an alarm if proofs now contradict each other. */
    void merge(long key, VersionedEntry entry) {
        boolean contradictedBefore = isContradictory(outcomeOf(key));
        store.merge(unixClock.getAsLong(), key, entry);
        WriteOutcome merged = outcomeOf(key);
        if (!contradictedBefore && isContradictory(merged)) {
            alarms++;
            log.accept(
                    "replicas alarm: two proofs contradict one another, key " + Long.toHexString(key) + ", " + merged);
        }
    }

    private static boolean isContradictory(WriteOutcome outcome) {
        return outcome != null && outcome.isContradictory();
    }

    /**
     * Grants a claim if this replica would know of every other claim that may have been used, and knows of none. If
     * it grants the claim, it stores it.
     *
     * @param firstSubmission whether the write is known to be submitted for the first time
     * @param requestedOutcome contains the claim and the time at which the write arrived
     */
    boolean grant(long key, ClaimId claim, boolean firstSubmission, WriteOutcome requestedOutcome) {
        // Another submission of this write may have stored a claim here that was lost since: an earlier submission or,
        // if this is the first, a retry that overtook it, for instance while its gateway was paused. An entry in the
        // store does not prove that nothing was lost, since it may come from a claim that was refused.
        ReplicaSet replicas = placement.of(key);
        boolean arrivedAfterBound = firstSubmission && requestedOutcome.timestamp() > bound.of(replicas);
        boolean historyIsComplete = arrivedAfterBound || bound.coversSubmissions(replicas);
        // The claim may already be in the store, received from another replica. Such an entry does not count as a grant
        // of this replica, nor does it prevent one.
        VersionedEntry knownEntry = store.get(key);
        boolean isPermitted = knownEntry == null || knownEntry.permitsClaim(claim);
        if (!historyIsComplete || !isPermitted) {
            return false;
        }
        merge(key, requestedOutcome);
        return outcomeOf(key) != null;
    }

    /** Merges the entry of the request. */
    WriteResponse answer(Peer requester, WriteRequest request) {
        merge(request.key(), request.entry());
        return new WriteResponse(requester.incarnation(), request.number());
    }

    /** Returns the required position of a session and the server that executed its last known write. */
    PositionResponse answer(Peer requester, PositionRequest request) {
        long key = request.key();
        return new PositionResponse(requester.incarnation(), request.number(), requiredPosition(key), serverOf(key));
    }

    /** Grants or refuses the claim; the response includes what this replica then knows of the write. */
    ClaimResponse answer(Peer requester, ClaimRequest request) {
        WriteOutcome requestedOutcome = request.outcome();
        ClaimId claim = requestedOutcome.claims().keySet().iterator().next();
        boolean granted = grant(request.key(), claim, request.firstSubmission(), requestedOutcome);
        return new ClaimResponse(requester.incarnation(), request.number(), granted, outcomeOf(request.key()));
    }
}
