package ploverdale.state;

import ploverdale.model.LoadReport;
import ploverdale.model.Ticks;

/** When a server last proved to be alive, to this gateway and to its peers. */
public final class Liveness {
    /** A server whose last confirmation is older gets no request until a health check has succeeded. */
    public static final long CONFIRMATION_VALIDITY = Ticks.ofMillis(2000);

    private long confirmedAt = LoadReport.UNKNOWN_TIME;
    private long aliveAt = LoadReport.UNKNOWN_TIME;
    private long unresponsiveAt = LoadReport.UNKNOWN_TIME;
    private long respondedAt = LoadReport.UNKNOWN_TIME;
    private long attemptAnsweredAt = LoadReport.UNKNOWN_TIME;
    private long checkMissedAt = LoadReport.UNKNOWN_TIME;
    private int inconclusiveChecks;
    private long inconclusiveWait;

    /**
     * Returns when the server last answered this gateway, or a peer whose observation counts as much; earlier than that
     * after {@link #expireConfirmation}.
     */
    public long confirmedAt() {
        return confirmedAt;
    }

    /** Returns whether the server was ever confirmed. */
    public boolean wasEverConfirmed() {
        return confirmedAt != LoadReport.UNKNOWN_TIME;
    }

    /** Returns whether the server was confirmed recently enough to get a request. */
    public boolean isConfirmed(long now) {
        return now - confirmedAt <= CONFIRMATION_VALIDITY;
    }

    /** Returns when the server last answered any gateway, as far as known here. */
    public long aliveAt() {
        return aliveAt;
    }

    /** Returns when any gateway last found the server unresponsive, as far as known here. */
    public long unresponsiveAt() {
        return unresponsiveAt;
    }

    /** Returns when the server last answered an attempt or a health check of this gateway. */
    public long respondedAt() {
        return respondedAt;
    }

    /** Returns when the server last answered an attempt of this gateway. */
    public long attemptAnsweredAt() {
        return attemptAnsweredAt;
    }

    /** Returns when a health check of this gateway last timed out. */
    public long checkMissedAt() {
        return checkMissedAt;
    }

    /** Records that the server answered an attempt. */
    public void recordAttemptAnswered(long now) {
        attemptAnsweredAt = now;
        recordCheckAnswered(now);
    }

    /** Records that the server answered a health check. */
    public void recordCheckAnswered(long now) {
        confirmedAt = now;
        aliveAt = now;
        respondedAt = now;
        inconclusiveChecks = 0;
        inconclusiveWait = 0;
    }

    /** Records that a health check timed out. */
    public void recordCheckMissed(long now) {
        checkMissedAt = now;
    }

    /**
     * Records a missed health check that says nothing about the server.
     *
     * @param unexplainedWait the part of its wait without another explanation, in ticks
     */
    public void recordInconclusiveCheck(long unexplainedWait) {
        inconclusiveChecks++;
        inconclusiveWait += unexplainedWait;
    }

    /** Returns whether any health check since the last answer was inconclusive. */
    public boolean hasInconclusiveChecks() {
        return inconclusiveChecks > 0;
    }

    /**
     * Returns how long the inconclusive health checks since the last answer waited without another explanation, in
     * ticks.
     */
    public long inconclusiveWait() {
        return inconclusiveWait;
    }

    /** Makes the server count as unconfirmed until its next answer. */
    public void expireConfirmation(long now) {
        confirmedAt = Math.min(confirmedAt, now - CONFIRMATION_VALIDITY - 1);
    }

    /** Records that a peer observed the server alive at this time, which counts as an answer to this gateway. */
    public void confirmByPeer(long observedAt) {
        confirmedAt = observedAt;
    }

    /** Merges a peer's observation: the later time of each kind is kept. */
    public void mergeObservation(long observedAliveAt, long observedUnresponsiveAt) {
        unresponsiveAt = Math.max(unresponsiveAt, observedUnresponsiveAt);
        aliveAt = Math.max(aliveAt, observedAliveAt);
    }

    /** Records that this gateway found the server unresponsive. */
    public void recordUnresponsive(long now) {
        unresponsiveAt = now;
    }
}
