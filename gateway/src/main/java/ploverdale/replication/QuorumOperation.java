package ploverdale.replication;

import java.util.BitSet;
import ploverdale.replication.QuorumResult.Status;

/**
 * One request to all replicas of a key, and which of them have answered. It is repeated with exponential backoff to those
 * that have not. Times in tenths of a millisecond of a monotonic clock. Not thread-safe, used on the thread of {@link
 * Replicas}.
 */
abstract sealed class QuorumOperation permits QuorumWrite, QuorumRead, QuorumClaim {
    private static final long MS = 10;
    private static final long FIRST_RETRY_AFTER = 15 * MS;
    private static final int BACKOFF_FACTOR = 2;

    private final long ticket;
    private final long key;
    private final ReplicaSet replicas;
    private final long deadline;
    private final boolean awaited;
    private final BitSet answered = new BitSet(ReplicaSet.MAX_SIZE); // by place among the replicas
    private boolean completed;
    private long retryAt;
    private long retryAfter = FIRST_RETRY_AFTER;

    /**
     * An operation that no replica has answered.
     *
     * @param deadline at which it ends without a quorum
     * @param awaited whether its result is reported
     */
    QuorumOperation(long ticket, long key, ReplicaSet replicas, long deadline, boolean awaited) {
        this.ticket = ticket;
        this.key = key;
        this.replicas = replicas;
        this.deadline = deadline;
        this.awaited = awaited;
    }

    /** The message to each replica. */
    abstract ReplicationMessage request(int number);

    /** Has this gateway answer as the replica of a place. */
    abstract void answerLocally(LocalReplica replica, int place);

    /**
     * How it ends by the answers so far; null where they do not decide it yet.
     *
     * @param known what this gateway knows of the write of that key, or null
     */
    abstract Status decide(WriteOutcome known);

    /** How it ends where no quorum has answered in time. */
    abstract Status timeoutStatus();

    /**
     * How its result is reported.
     *
     * @param response of the write of that key, see {@link WriteOutcome#response}
     */
    QuorumResult result(Status status, byte[] response) {
        return new QuorumResult(ticket, status, EntryStore.NOTHING_MISSING, Position.NO_SERVER, null, response);
    }

    /** Identifies it in its {@link QuorumResult}. */
    final long ticket() {
        return ticket;
    }

    /** The key that it is about. */
    final long key() {
        return key;
    }

    /** The replicas of its key. */
    final ReplicaSet replicas() {
        return replicas;
    }

    /** Whether its result is reported. */
    final boolean isAwaited() {
        return awaited;
    }

    /** Whether it has ended; replicas may still be answering. */
    final boolean isCompleted() {
        return completed;
    }

    /** It has ended. */
    final void complete() {
        completed = true;
    }

    /** Whether the replica of a place has answered. */
    final boolean isAnsweredBy(int place) {
        return answered.get(place);
    }

    /** The replica of a place has answered. */
    final void markAnswered(int place) {
        answered.set(place);
    }

    /** Replicas that have answered. */
    final int answers() {
        return answered.cardinality();
    }

    /** Whether a quorum has answered. */
    final boolean isAnsweredByMajority() {
        return answers() >= replicas.majority();
    }

    /** Whether all replicas have answered. */
    final boolean isAnsweredByAll() {
        return answers() == replicas.size();
    }

    /** Whether no further answer is of use. */
    boolean isFinished() {
        return isAnsweredByAll();
    }

    /** Whether its time is over. */
    final boolean isExpired(long now) {
        return now >= deadline;
    }

    /** It was sent for the first time. */
    final void scheduleFirstRetry(long now) {
        retryAt = now + retryAfter;
    }

    /** Whether it is to be sent again to the replicas that have not answered. */
    boolean isRetryDue(long now) {
        return isBackoffOver(now) && !completed;
    }

    /** Whether the pause after it was last sent is over. */
    final boolean isBackoffOver(long now) {
        return now >= retryAt;
    }

    /** It was sent again. */
    final void scheduleNextRetry(long now) {
        retryAfter *= BACKOFF_FACTOR;
        retryAt = now + retryAfter;
    }

    /** Appends all that tells two states apart, for a model checker. */
    void describe(StringBuilder text) {
        text.append(' ').append(getClass().getSimpleName()).append(answered).append(completed);
    }
}
