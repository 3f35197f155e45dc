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
 * This gateway as a replica of keys: merges entries, answers reads of positions and grants claims, from its store and the
 * bound up to which entries may be missing there. Not thread-safe, used on the thread of {@link Replicas}.
 */
final class LocalReplica {
    private final LongSupplier unixClock;
    private final ReplicaPlacement placement;
    private final EntryStore store;
    private final CompletenessBound bound;
    private final Consumer<String> log;
    private long alarms;

    /**
     * @param unixClock in tenths of a millisecond
     * @param log takes lines for the log
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

    /** Keys at which contradicting proofs were found since the start. */
    long alarms() {
        return alarms;
    }

    /** What is known here of a write; null where nothing is. */
    WriteOutcome outcomeOf(long key) {
        return store.writeOutcome(key);
    }

    /** The server of a session's position, or {@link Position#NO_SERVER}. */
    int serverOf(long key) {
        Position position = store.position(key);
        return position == null ? Position.NO_SERVER : position.server();
    }

    /** The position that reads of a session must reach as far as this replica knows. */
    long requiredPosition(long key) {
        return bound.requiredPosition(key);
    }

    /** Merges an entry into that of its key, and reports proofs that contradict each other. */
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
     * Grants a claim where this replica would know of any other that might have been used, and knows of none.
     *
     * @param firstSubmission whether the write is known to be submitted for the first time
     * @param requested has that claim and the time at which the write arrived
     */
    boolean grant(long key, ClaimId claim, boolean firstSubmission, WriteOutcome requested) {
        // An earlier submission may have been known here; of a first one, a later submission that overtook it, as where
        // its gateway was paused meanwhile. What is in the store proves nothing of that: it may be of a refused claim.
        ReplicaSet replicas = placement.of(key);
        boolean arrivedAfterBound = firstSubmission && requested.timestamp() > bound.of(replicas);
        boolean mayKnowAll = arrivedAfterBound || bound.coversSubmissions(replicas);
        // Other replicas may have brought this claim here before: only grants made here count for its majority.
        VersionedEntry known = store.get(key);
        boolean isFree = known == null || known.permitsClaim(claim);
        if (!mayKnowAll || !isFree) {
            return false;
        }
        merge(key, requested);
        return outcomeOf(key) != null;
    }

    /** Merges the entry. */
    WriteResponse answer(Peer requester, WriteRequest request) {
        merge(request.key(), request.entry());
        return new WriteResponse(requester.incarnation(), request.number());
    }

    /** Reads the required position and the server of the one in the store. */
    PositionResponse answer(Peer requester, PositionRequest request) {
        long key = request.key();
        return new PositionResponse(requester.incarnation(), request.number(), requiredPosition(key), serverOf(key));
    }

    /** Grants or refuses the claim, with what is then known of the write. */
    ClaimResponse answer(Peer requester, ClaimRequest request) {
        WriteOutcome requested = request.outcome();
        ClaimId claim = requested.claims().keySet().iterator().next();
        boolean granted = grant(request.key(), claim, request.firstSubmission(), requested);
        return new ClaimResponse(requester.incarnation(), request.number(), granted, outcomeOf(request.key()));
    }
}
