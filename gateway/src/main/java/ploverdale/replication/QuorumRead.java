package ploverdale.replication;

import ploverdale.replication.QuorumResult.Status;
import ploverdale.replication.ReplicationMessage.PositionRequest;

/** Reads the position that reads of a session must reach: the latest one that a majority of replicas requires. */
final class QuorumRead extends QuorumOperation {
    private long position;
    private int server;

    /** @param knownPosition the position in this gateway's store, or null */
    QuorumRead(long ticket, long key, ReplicaSet replicas, long deadline, Position knownPosition) {
        super(ticket, key, replicas, deadline, true);
        position = knownPosition == null ? EntryStore.NOTHING_MISSING : knownPosition.timestamp();
        server = knownPosition == null ? Position.NO_SERVER : knownPosition.server();
    }

    @Override
    ReplicationMessage request(int number) {
        return new PositionRequest(number, key());
    }

    @Override
    void answerLocally(LocalReplica replica, int replicaIndex) {
        onAnswer(replicaIndex, replica.requiredPosition(key()), replica.serverOf(key()));
    }

    /**
     * Records the answer of a replica.
     *
     * @param answeredPosition the position that it requires
     * @param answeredServer the server that executed the session's last write, or {@link Position#NO_SERVER}
     */
    void onAnswer(int replicaIndex, long answeredPosition, int answeredServer) {
        markAnswered(replicaIndex);
        if (answeredPosition > position) {
            position = answeredPosition;
            server = answeredServer;
        }
    }

    @Override
    Status decide(WriteOutcome knownOutcome) {
        return isAnsweredByMajority() ? Status.POSITION_KNOWN : null;
    }

    @Override
    Status timeoutStatus() {
        return Status.UNKNOWN;
    }

    @Override
    QuorumResult result(Status status, byte[] response) {
        return new QuorumResult(ticket(), status, position, server, null, response);
    }

    @Override
    boolean isFinished() {
        return super.isFinished() || isCompleted();
    }
}
