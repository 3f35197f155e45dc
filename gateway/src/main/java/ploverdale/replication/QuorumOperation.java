package ploverdale.replication;

import java.util.BitSet;
import ploverdale.replication.QuorumResult.Status;

/**
 * One request to all replicas of a key, with a record of which of them have answered. It is repeated with exponential
 * backoff to those that have not. Times are in tenths of a millisecond of a monotonic clock. Not thread-safe: used on
 * the thread of {@link Replicas}.
 */
abstract sealed class QuorumOperation permits QuorumWrite, QuorumRead, QuorumClaim {
    private static final long TICKS_PER_MS = 10;
    private static final long FIRST_RETRY_AFTER = 15 * TICKS_PER_MS;
    private static final int BACKOFF_FACTOR = 2;

    private final long ticket;
    private final long key;
    private final ReplicaSet replicas;
    private final long deadline;
    private final boolean awaited;
    private final BitSet answered = new BitSet(ReplicaSet.MAX_SIZE); // by index in the replica set
    private boolean completed;
    private long retryAt;
    private long retryAfter = FIRST_RETRY_AFTER;

    /**
     * @param deadline time at which the operation completes even without a quorum
     * @param awaited whether its result is reported
     */
    QuorumOperation(long ticket, long key, ReplicaSet replicas, long deadline, boolean awaited) {
        this.ticket = ticket;
        this.key = key;
        this.replicas = replicas;
        this.deadline = deadline;
        this.awaited = awaited;
    }

    /** Returns the message to each replica. */
    abstract ReplicationMessage request(int number);

    /** Records the answer of this gateway, which is the replica with the given index. */
    abstract void answerLocally(LocalReplica replica, int replicaIndex);

    /**
     * Returns the status with which the answers so far complete the operation; null while they do not decide it.
     *
     * @param knownOutcome what this gateway knows of the write with that key, or null
     */
    abstract Status decide(WriteOutcome knownOutcome);

    /** Returns the status with which the operation completes if no quorum has answered before the deadline. */
    abstract Status timeoutStatus();

    /**
     * Returns the result to report.
     *
     * @param response of the write with that key, see {@link WriteOutcome#response}
     */
    QuorumResult result(Status status, byte[] response) {
        return new QuorumResult(ticket, status, EntryStore.NOTHING_MISSING, Position.NO_SERVER, null, response);
    }

    /** Returns the number that identifies the operation in its {@link QuorumResult}. */
    final long ticket() {
        return ticket;
    }

    final long key() {
        return key;
    }

    final ReplicaSet replicas() {
        return replicas;
    }

    /** Whether the result is reported. */
    final boolean isAwaited() {
        return awaited;
    }

    /** Whether the result is decided. Replicas may still be answering. */
    final boolean isCompleted() {
        return completed;
    }

    /** Marks the operation as completed. */
    final void complete() {
        completed = true;
    }

    /** Whether the replica with an index has answered. */
    final boolean isAnsweredBy(int replicaIndex) {
        return answered.get(replicaIndex);
    }

    /** Records that the replica with an index has answered. */
    final void markAnswered(int replicaIndex) {
        answered.set(replicaIndex);
    }

    /** Returns how many replicas have answered. */
    final int answers() {
        return answered.cardinality();
    }

    /** Whether a quorum has answered. */
    final boolean isAnsweredByMajority() {
        return answers() >= replicas.majority();
    }

    final boolean isAnsweredByAll() {
        return answers() == replicas.size();
    }

    /** Whether further answers are of no use, so that the operation can be forgotten. */
    boolean isFinished() {
        return isAnsweredByAll();
    }

    /** Whether the deadline has passed. */
    final boolean isExpired(long now) {
        return now >= deadline;
    }

    /** Called when the request was sent for the first time. */
    final void scheduleFirstRetry(long now) {
        retryAt = now + retryAfter;
    }

    /** Whether the request is to be sent again to the replicas that have not answered. */
    boolean isRetryDue(long now) {
        return isBackoffOver(now) && !completed;
    }

    /** Whether the backoff since the request was last sent is over. */
    final boolean isBackoffOver(long now) {
        return now >= retryAt;
    }

    /** Called when the request was sent again; the backoff grows by {@value #BACKOFF_FACTOR} each time. */
    final void scheduleNextRetry(long now) {
        retryAfter *= BACKOFF_FACTOR;
        retryAt = now + retryAfter;
    }

    /** Appends a description in which any two states differ that a model checker has to distinguish. */
    void describe(StringBuilder text) {
        text.append(' ').append(getClass().getSimpleName()).append(answered).append(completed);
    }
}
