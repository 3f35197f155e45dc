package ploverdale.replication;

import ploverdale.replication.QuorumResult.Status;
import ploverdale.replication.ReplicationMessage.WriteRequest;

/**
 * Replicates an entry. Completes once a majority of replicas has stored it, but is repeated until all of them have
 * stored it or the deadline has passed.
 */
final class QuorumWrite extends QuorumOperation {
    private final VersionedEntry entry;

    QuorumWrite(long ticket, long key, ReplicaSet replicas, long deadline, boolean awaited, VersionedEntry entry) {
        super(ticket, key, replicas, deadline, awaited);
        this.entry = entry;
    }

    @Override
    ReplicationMessage request(int number) {
        return new WriteRequest(number, key(), entry);
    }

    @Override
    void answerLocally(LocalReplica replica, int replicaIndex) {
        // The coordinator has already merged the entry into the local store.
        markAnswered(replicaIndex);
    }

    @Override
    Status decide(WriteOutcome knownOutcome) {
        return isAnsweredByMajority() ? Status.REPLICATED : null;
    }

    @Override
    Status timeoutStatus() {
        return Status.UNKNOWN;
    }

    @Override
    boolean isRetryDue(long now) {
        return isBackoffOver(now);
    }
}
