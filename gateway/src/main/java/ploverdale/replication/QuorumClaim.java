package ploverdale.replication;

import ploverdale.replication.QuorumResult.Status;
import ploverdale.replication.ReplicationMessage.ClaimRequest;

/**
 * Claims to execute a write. The claim is granted only if a majority of replicas grants it. If it fails, replicas
 * that granted it have to be notified that its write is never executed, see {@link #needsWithdrawal}.
 */
final class QuorumClaim extends QuorumOperation {
    private final ClaimId claim;
    private final boolean firstSubmission;
    private final WriteOutcome requestedOutcome;
    private int grants;

    /**
     * @param firstSubmission whether the write is known to be submitted for the first time
     * @param arrivedAt when the write arrived, a Unix time in tenths of a millisecond
     */
    QuorumClaim(
            long ticket,
            long key,
            ReplicaSet replicas,
            long deadline,
            ClaimId claim,
            boolean firstSubmission,
            long arrivedAt) {
        super(ticket, key, replicas, deadline, true);
        this.claim = claim;
        this.firstSubmission = firstSubmission;
        requestedOutcome = WriteOutcome.of(arrivedAt, claim, ClaimState.CLAIMED, WriteOutcome.NO_RESPONSE);
    }

    ClaimId claim() {
        return claim;
    }

    @Override
    ReplicationMessage request(int number) {
        return new ClaimRequest(number, key(), firstSubmission, requestedOutcome);
    }

    @Override
    void answerLocally(LocalReplica replica, int replicaIndex) {
        onAnswer(replicaIndex, replica.grant(key(), claim, firstSubmission, requestedOutcome));
    }

    /** Records that a replica granted or refused the claim. */
    void onAnswer(int replicaIndex, boolean granted) {
        markAnswered(replicaIndex);
        if (granted) {
            grants++;
        }
    }

    private boolean isGranted() {
        return grants >= replicas().majority();
    }

    private boolean mayBeGranted() {
        int unanswered = replicas().size() - answers();
        return grants + unanswered >= replicas().majority();
    }

    @Override
    Status decide(WriteOutcome knownOutcome) {
        if (isGranted()) {
            return Status.GRANTED;
        }
        if (knownOutcome != null && knownOutcome.hasSucceeded()) {
            return Status.ALREADY_EXECUTED;
        }
        return mayBeGranted() ? null : Status.IN_DOUBT;
    }

    @Override
    Status timeoutStatus() {
        return Status.IN_DOUBT;
    }

    /** Whether the claim has failed after all replicas answered, and some of them granted it. */
    boolean needsWithdrawal() {
        return isCompleted() && !isGranted() && grants > 0 && isAnsweredByAll();
    }

    /**
     * Whether the claim has to be withdrawn after its deadline: it has no majority, but a replica may have granted
     * it and the response was lost.
     */
    boolean needsWithdrawalOnTimeout() {
        return !isGranted();
    }

    @Override
    QuorumResult result(Status status, byte[] response) {
        return new QuorumResult(ticket(), status, EntryStore.NOTHING_MISSING, Position.NO_SERVER, claim, response);
    }

    @Override
    void describe(StringBuilder text) {
        super.describe(text);
        text.append(grants);
    }
}
