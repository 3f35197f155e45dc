package ploverdale.replication;

import ploverdale.replication.Replicas.End;
import ploverdale.replication.ReplicationMessage.WriteRequest;

/** Replicates an entry. It ends once a majority of replicas has it, and is repeated until all have it or time is over. */
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

    /** The coordinator has merged the entry before. */
    @Override
    void answerLocally(ReplicaHolder replica, int place) {
        markAnswered(place);
    }

    @Override
    End decide(WriteOutcome known) {
        return isAnsweredByMajority() ? End.COPIED : null;
    }

    @Override
    End timeoutEnd() {
        return End.UNKNOWN;
    }

    @Override
    boolean isRetryDue(long now) {
        return isBackoffOver(now);
    }
}
