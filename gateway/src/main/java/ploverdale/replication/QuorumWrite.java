package ploverdale.replication;

import ploverdale.replication.QuorumResult.Status;
import ploverdale.replication.ReplicationMessage.WriteRequest;

/** Replicates an entry. It ends once a majority of replicas has it, and is repeated until all have it or time is over. */
final class QuorumWrite extends QuorumOperation {
    private final VersionedEntry entry;

    /** A write that no replica has answered. */
    QuorumWrite(long ticket, long key, ReplicaSet replicas, long deadline, boolean awaited, VersionedEntry entry) {
        super(ticket, key, replicas, deadline, awaited);
        this.entry = entry;
    }

    @Override
    ReplicationMessage request(int number) {
        return new WriteRequest(number, key(), entry);
    }

    /** The coordinator has merged the entry before. */
    @Override
    void answerLocally(LocalReplica replica, int place) {
        markAnswered(place);
    }

    @Override
    Status decide(WriteOutcome known) {
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
