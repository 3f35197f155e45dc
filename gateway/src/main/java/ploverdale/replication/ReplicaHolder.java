package ploverdale.replication;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import ploverdale.membership.PacketQueue;

/**
 * This gateway as a replica of keys: takes copies of facts, tells positions and grants claims, from what is held here
 * and the bound up to which facts may be missing. Not thread-safe, used on the thread of {@link Replicas}.
 */
final class ReplicaHolder {
    private final LongSupplier wall;
    private final ReplicaPlacement placement;
    private final EntryStore store;
    private final CompletenessBound bound;
    private final Consumer<String> log;
    private long alarms;

    /**
     * @param wall Unix time in tenths of a millisecond
     * @param log takes lines for the log
     */
    ReplicaHolder(
            LongSupplier wall,
            ReplicaPlacement placement,
            EntryStore store,
            CompletenessBound bound,
            Consumer<String> log) {
        this.wall = wall;
        this.placement = placement;
        this.store = store;
        this.bound = bound;
        this.log = log;
    }

    /** Keys at which contradicting proofs were found since the start. */
    long alarms() {
        return alarms;
    }

    /** What is held of a write; null where nothing is. */
    WriteOutcome outcomeOf(long key) {
        return store.of(key) instanceof WriteOutcome held ? held : null;
    }

    /** The server of the position that is held of a session, or -1. */
    int serverOf(long key) {
        return store.of(key) instanceof Position held ? held.server() : ReplicaMessages.NO_SERVER;
    }

    /** Joins a fact with what is held of its key. */
    void join(long key, VersionedEntry fact) {
        boolean contradictedBefore = contradicts(outcomeOf(key));
        store.join(wall.getAsLong(), key, fact);
        WriteOutcome joined = outcomeOf(key);
        if (!contradictedBefore && contradicts(joined)) {
            alarms++;
            log.accept(
                    "replicas alarm: two proofs contradict one another, key " + Long.toHexString(key) + ", " + joined);
        }
    }

    private static boolean contradicts(WriteOutcome outcome) {
        return outcome != null && outcome.alarm();
    }

    /**
     * Grants a claim where this gateway would know of any other that might have been sent, and knows of none.
     *
     * @param first whether it is known to be of a first submission
     * @param asked the fact that holds the claim, of the moment the write arrived
     */
    boolean grant(long key, IdempotencyRecord claim, boolean first, WriteOutcome asked) {
        // An earlier submission may have been known here; of a first one, a later submission that overtook it, as where
        // its
        // gateway was paused meanwhile. What is held proves nothing of that: it may be of a claim that was refused.
        long replicas = placement.of(key);
        boolean mayKnowAll = first && asked.at() > bound.of(replicas) || bound.coversSubmissions(replicas);
        VersionedEntry held = store.of(key);
        // Others' copies may have brought this claim here before: only grants made here count for its majority.
        boolean free = held == null || held instanceof WriteOutcome f && f.isFreeBut(claim) && f.hasRoom(claim);
        if (!mayKnowAll || !free) {
            return false;
        }
        join(key, asked);
        return store.of(key) instanceof WriteOutcome;
    }

    /**
     * Handles another gateway's request, whose head is complete; ignores facts of a kind that this version does not
     * know.
     */
    void onRequest(int from, long itsStart, int kind, ByteBuffer content, PacketQueue to) {
        int number = content.getInt();
        long key = content.getLong();
        if (kind == ReplicaMessages.POSITION_REQUEST) {
            long position = bound.requiredPosition(key, placement.of(key));
            to.add(from, ReplicaMessages.positionAnswer(itsStart, number, position, serverOf(key)));
            return;
        }
        boolean isClaim = kind == ReplicaMessages.CLAIM_REQUEST;
        boolean first = isClaim && content.remaining() > 0 && content.get() != 0;
        VersionedEntry fact = VersionedEntry.read(content);
        if (fact != null && !isClaim) {
            join(key, fact);
            to.add(from, ReplicaMessages.copyAnswer(itsStart, number));
        } else if (fact instanceof WriteOutcome asked && asked.claims().size() == 1) {
            IdempotencyRecord claim = asked.claims().keySet().iterator().next();
            boolean granted = grant(key, claim, first, asked);
            to.add(from, ReplicaMessages.claimAnswer(itsStart, number, granted, outcomeOf(key)));
        }
    }
}
