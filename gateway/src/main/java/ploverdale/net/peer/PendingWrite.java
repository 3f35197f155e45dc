package ploverdale.net.peer;

import ploverdale.model.Event.Outcome;
import ploverdale.model.Event.RequestArrived;
import ploverdale.model.RequestId;
import ploverdale.replication.ClaimId;

/** A write without a final answer, with what its attempts prove about whether it ran. Used on the event loop only. */
final class PendingWrite {
    private final RequestArrived request;
    private final boolean synchronous;
    private final long arrivedAt;
    private ClaimId claim;
    private int attemptsInFlight;
    private boolean mayHaveRun;

    /**
     * Creates a write without a claim and without attempts.
     *
     * @param synchronous whether the client is answered only after a majority of the replicas has stored the entries
     *     of the write
     * @param arrivedAt when the request arrived, on the servers' wall clock, in tenths of a millisecond
     */
    PendingWrite(RequestArrived request, boolean synchronous, long arrivedAt) {
        this.request = request;
        this.synchronous = synchronous;
        this.arrivedAt = arrivedAt;
    }

    RequestArrived request() {
        return request;
    }

    RequestId id() {
        return request.request();
    }

    boolean isSynchronous() {
        return synchronous;
    }

    long arrivedAt() {
        return arrivedAt;
    }

    /** Returns the claim by which the replicas allow this gateway to send the write; null if it holds none. */
    ClaimId claim() {
        return claim;
    }

    boolean hasClaim() {
        return claim != null;
    }

    void setClaim(ClaimId granted) {
        claim = granted;
    }

    void attemptStarted() {
        attemptsInFlight++;
    }

    void attemptEnded(Outcome outcome) {
        attemptsInFlight--;
        mayHaveRun |= !outcome.provesNotRun();
    }

    /** Returns whether an attempt is in flight. Its outcome may still prove whether the write ran. */
    boolean hasAttemptInFlight() {
        return attemptsInFlight > 0;
    }

    /** Returns whether a completed attempt may have run the write. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }
}
