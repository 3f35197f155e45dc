package ploverdale.state;

import ploverdale.model.LoadReport;
import ploverdale.model.Ticks;

/** When a server last showed that it is alive, to this gateway and to others. */
public final class Liveness {
    /** A server that was not confirmed for longer gets no request before a health check succeeds. */
    public static final long CONFIRMATION_LASTS = Ticks.ofMillis(2000);

    private long confirmedAt = LoadReport.UNKNOWN_TIME;
    private long aliveAt = LoadReport.UNKNOWN_TIME;
    private long unresponsiveAt = LoadReport.UNKNOWN_TIME;
    private long respondedAt = LoadReport.UNKNOWN_TIME;
    private long attemptAnsweredAt = LoadReport.UNKNOWN_TIME;
    private long checkMissedAt = LoadReport.UNKNOWN_TIME;
    private int inconclusiveChecks;
    private long inconclusiveWait;

    /** When the server last answered this gateway, or another one whose observation is as good; put back to have it checked. */
    public long confirmedAt() {
        return confirmedAt;
    }

    /** Whether the server was ever confirmed. */
    public boolean wasEverConfirmed() {
        return confirmedAt != LoadReport.UNKNOWN_TIME;
    }

    /** Whether the server was confirmed lately enough for a request. */
    public boolean isConfirmed(long now) {
        return now - confirmedAt <= CONFIRMATION_LASTS;
    }

    /** When the server last answered any gateway, as far as known. */
    public long aliveAt() {
        return aliveAt;
    }

    /** When any gateway last found the server unresponsive, as far as known. */
    public long unresponsiveAt() {
        return unresponsiveAt;
    }

    /** When the server last answered this gateway, an attempt or a health check. */
    public long respondedAt() {
        return respondedAt;
    }

    /** When the server last answered an attempt of this gateway. */
    public long attemptAnsweredAt() {
        return attemptAnsweredAt;
    }

    /** When a health check of this gateway was last given up after a wait. */
    public long checkMissedAt() {
        return checkMissedAt;
    }

    /** The server answered an attempt. */
    public void recordAttemptAnswered(long now) {
        attemptAnsweredAt = now;
        recordCheckAnswered(now);
    }

    /** The server answered a health check. */
    public void recordCheckAnswered(long now) {
        confirmedAt = now;
        aliveAt = now;
        respondedAt = now;
        inconclusiveChecks = 0;
        inconclusiveWait = 0;
    }

    /** A health check was given up after a wait. */
    public void recordCheckMissed(long now) {
        checkMissedAt = now;
    }

    /** A missed health check proves nothing; this part of its wait has no other explanation. */
    public void recordInconclusiveCheck(long unexplainedWait) {
        inconclusiveChecks++;
        inconclusiveWait += unexplainedWait;
    }

    /** Whether there were inconclusive health checks since the last answer. */
    public boolean hasInconclusiveChecks() {
        return inconclusiveChecks > 0;
    }

    /** What the inconclusive health checks since the last answer waited without another explanation. */
    public long inconclusiveWait() {
        return inconclusiveWait;
    }

    /** Has the server count as unconfirmed until its next answer. */
    public void expireConfirmation(long now) {
        confirmedAt = Math.min(confirmedAt, now - CONFIRMATION_LASTS - 1);
    }

    /** Another gateway's observation is as good as an own answer at that time. */
    public void confirmByPeer(long observedAt) {
        confirmedAt = observedAt;
    }

    /** Joins another gateway's observation. */
    public void mergeObservation(long observedAliveAt, long observedUnresponsiveAt) {
        unresponsiveAt = Math.max(unresponsiveAt, observedUnresponsiveAt);
        aliveAt = Math.max(aliveAt, observedAliveAt);
    }

    /** This gateway finds the server unresponsive. */
    public void recordUnresponsive(long now) {
        unresponsiveAt = now;
    }
}
