package ploverdale.state;

import ploverdale.model.LoadReport;

/**
 * Whether a server is ejected as an outlier, and the evidence for it. Written by {@code OutlierDetector}.
 *
 * <table>
 * <caption>Transitions</caption>
 * <tr><th>from</th><th>to</th><th>when</th></tr>
 * <tr><td>serving</td><td>ejected</td><td>answers are missing, health checks time out, or too many attempts
 * fail</td></tr>
 * <tr><td>ejected</td><td>serving</td><td>a health check after the backoff, or an earlier attempt, is
 * answered</td></tr>
 * </table>
 */
public final class Ejection {
    private static final double NEWEST_WEIGHT = 0.1;

    private boolean ejected;
    private long ejectedAt;
    private long readmittedAt = LoadReport.UNKNOWN_TIME;
    private long recheckAt;
    private long backoff;
    private int missedChecks;
    private double failureShare;

    /** Returns whether the server is ejected. */
    public boolean isEjected() {
        return ejected;
    }

    /** Returns when the server was last ejected; 0 if never. */
    public long ejectedAt() {
        return ejectedAt;
    }

    /** Returns when the server was last readmitted. */
    public long readmittedAt() {
        return readmittedAt;
    }

    /** Returns the earliest time of the next health check on behalf of waiting requests. */
    public long recheckAt() {
        return recheckAt;
    }

    /** Returns the delay before the next health check of the ejected server, in ticks. */
    public long backoff() {
        return backoff;
    }

    /** Returns how many health checks in a row have had no answer. */
    public int missedChecks() {
        return missedChecks;
    }

    /** Returns the moving average of the severity of failures, from 0 to 1. */
    public double failureShare() {
        return failureShare;
    }

    /**
     * Ejects the server.
     *
     * @param firstBackoff delay before its next health check, in ticks
     */
    public void eject(long now, long firstBackoff) {
        ejected = true;
        ejectedAt = now;
        delayRecheck(now, firstBackoff);
    }

    /**
     * Readmits the server.
     *
     * @param rememberedFailureShare upper bound of the failure average after readmission
     */
    public void readmit(long now, double rememberedFailureShare) {
        ejected = false;
        readmittedAt = now;
        failureShare = Math.min(failureShare, rememberedFailureShare);
    }

    /** Sets the delay before the next health check of the ejected server, in ticks from now. */
    public void delayRecheck(long now, long newBackoff) {
        backoff = newBackoff;
        recheckAt = now + newBackoff;
    }

    /** Allows the next health check no earlier than at this time. */
    public void recheckNotBefore(long time) {
        recheckAt = Math.max(recheckAt, time);
    }

    /** Allows the next health check at this time at the latest. */
    public void recheckNotAfter(long time) {
        recheckAt = Math.min(recheckAt, time);
    }

    /** Resets the count of missed health checks, after an answer. */
    public void clearMissedChecks() {
        missedChecks = 0;
    }

    /** Counts a missed health check and returns how many there are in a row. */
    public int countMissedCheck() {
        missedChecks++;
        return missedChecks;
    }

    /** Counts other evidence as this many missed health checks. */
    public void raiseMissedChecksTo(int checks) {
        missedChecks = Math.max(missedChecks, checks);
    }

    /**
     * Moves the average of failures toward this severity: 1 for a failure that the server itself reported, less if
     * another cause is possible.
     */
    public void recordFailure(double severity) {
        failureShare += NEWEST_WEIGHT * (severity - failureShare);
    }

    /** Moves the average of failures toward 0. */
    public void recordSuccess() {
        failureShare *= 1 - NEWEST_WEIGHT;
    }
}
