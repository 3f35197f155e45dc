package ploverdale.replication;

import ploverdale.replication.Replicas.Done;
import ploverdale.replication.Replicas.End;
import ploverdale.replication.ReplicationMessage.ClaimRequest;

/**
 * Claims to execute a write. The claim is granted by a majority of replicas or not at all; replicas that granted one that
 * failed have to be notified that its write is never executed, see {@link #isToBeWithdrawn}.
 */
final class QuorumClaim extends QuorumOperation {
    private final IdempotencyRecord claim;
    private final boolean firstSubmission;
    private final WriteOutcome requested;
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
            IdempotencyRecord claim,
            boolean firstSubmission,
            long arrivedAt) {
        super(ticket, key, replicas, deadline, true);
        this.claim = claim;
        this.firstSubmission = firstSubmission;
        requested = WriteOutcome.of(arrivedAt, claim, ClaimState.CLAIMED, WriteOutcome.NO_RESPONSE);
    }

    IdempotencyRecord claim() {
        return claim;
    }

    @Override
    ReplicationMessage request(int number) {
        return new ClaimRequest(number, key(), firstSubmission, requested);
    }

    @Override
    void answerLocally(ReplicaHolder replica, int place) {
        onAnswer(place, replica.grant(key(), claim, firstSubmission, requested));
    }

    /** A replica has granted or refused the claim. */
    void onAnswer(int place, boolean granted) {
        markAnswered(place);
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
    End decide(WriteOutcome known) {
        if (isGranted()) {
            return End.GRANTED;
        }
        if (known != null && known.hasSucceeded()) {
            return End.RAN;
        }
        return mayBeGranted() ? null : End.IN_DOUBT;
    }

    @Override
    End timeoutEnd() {
        return End.IN_DOUBT;
    }

    /** Whether it has failed, all replicas have answered, and some granted it. */
    boolean isToBeWithdrawn() {
        return isCompleted() && !isGranted() && grants > 0 && isAnsweredByAll();
    }

    /** Whether it has failed by a timeout: a replica may have granted it whose answer was lost. */
    boolean isToBeWithdrawnOnTimeout() {
        return !isGranted();
    }

    @Override
    Done done(End end, byte[] response) {
        return new Done(ticket(), end, EntryStore.NOTHING_MISSING, Position.NO_SERVER, claim, response);
    }

    @Override
    void describe(StringBuilder text) {
        super.describe(text);
        text.append(grants);
    }
}
