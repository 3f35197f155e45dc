package ploverdale.net.peer;

import ploverdale.model.Event.Outcome;
import ploverdale.model.Event.RequestArrived;
import ploverdale.model.RequestId;
import ploverdale.replication.ClaimId;

/** A write without a final answer, with what its attempts prove of it. Used on the event loop only. */
final class PendingWrite {
    private final RequestArrived request;
    private final boolean waitsForCopies;
    private final long arrivedAt;
    private ClaimId claim;
    private int attemptsInFlight;
    private boolean mayHaveRun;

    /**
     * @param waitsForCopies whether its client is answered only once a majority of the replicas has a copy
     * @param arrivedAt on the servers' wall clock, in tenths of a millisecond
     */
    PendingWrite(RequestArrived request, boolean waitsForCopies, long arrivedAt) {
        this.request = request;
        this.waitsForCopies = waitsForCopies;
        this.arrivedAt = arrivedAt;
    }

    RequestArrived request() {
        return request;
    }

    RequestId id() {
        return request.request();
    }

    boolean waitsForCopies() {
        return waitsForCopies;
    }

    long arrivedAt() {
        return arrivedAt;
    }

    /** Under which the replicas let this gateway send the write; null while there is none. */
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

    /** Whether an attempt is in flight, whose end may still prove whether the write ran. */
    boolean hasAttemptInFlight() {
        return attemptsInFlight > 0;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }
}
