package ploverdale.state;

import ploverdale.model.LoadReport;

/**
 * Whether a server is ejected as an outlier, and the evidence for it. Written by {@code OutlierDetector}.
 *
 * <table>
 *   <caption>Transitions</caption>
 *   <tr><th>from</th><th>to</th><th>when</th></tr>
 *   <tr><td>serving</td><td>ejected</td><td>answers are missing, health checks are missed, or too many attempts fail</td></tr>
 *   <tr><td>ejected</td><td>serving</td><td>a health check after the backoff, or an attempt from before, is answered</td></tr>
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

    /** Whether the server is ejected. */
    public boolean isEjected() {
        return ejected;
    }

    /** When the server was last ejected; 0 if never. */
    public long ejectedAt() {
        return ejectedAt;
    }

    /** When the server was last readmitted. */
    public long readmittedAt() {
        return readmittedAt;
    }

    /** When the next health check may be sent on behalf of waiting requests. */
    public long recheckAt() {
        return recheckAt;
    }

    /** The pause before the next health check of the ejected server. */
    public long backoff() {
        return backoff;
    }

    /** Health checks missed in a row. */
    public int missedChecks() {
        return missedChecks;
    }

    /** Moving average of failed attempts. */
    public double failureShare() {
        return failureShare;
    }

    /** Ejects the server for the backoff at least. */
    public void eject(long now, long firstBackoff) {
        ejected = true;
        ejectedAt = now;
        delayRecheck(now, firstBackoff);
    }

    /** Takes the server back; no more than this of its failures is remembered. */
    public void readmit(long now, double rememberedFailureShare) {
        ejected = false;
        readmittedAt = now;
        failureShare = Math.min(failureShare, rememberedFailureShare);
    }

    /** Sets the pause before the next health check of the ejected server. */
    public void delayRecheck(long now, long newBackoff) {
        backoff = newBackoff;
        recheckAt = now + newBackoff;
    }

    /** Allows the next health check no earlier than then. */
    public void recheckNotBefore(long time) {
        recheckAt = Math.max(recheckAt, time);
    }

    /** Allows the next health check from then on at the latest. */
    public void recheckNotAfter(long time) {
        recheckAt = Math.min(recheckAt, time);
    }

    /** An answer ends the row of missed health checks. */
    public void clearMissedChecks() {
        missedChecks = 0;
    }

    /** Counts a missed health check and returns how many there are in a row. */
    public int countMissedCheck() {
        missedChecks++;
        return missedChecks;
    }

    /** Other evidence counts like so many missed health checks. */
    public void countAtLeast(int checks) {
        missedChecks = Math.max(missedChecks, checks);
    }

    /** Moves the average of failures toward this value, 0 for a success to 1 for a failure of the server's own. */
    public void recordFailure(double severity) {
        failureShare += NEWEST_WEIGHT * (severity - failureShare);
    }

    /** Moves the average of failures toward none. */
    public void recordSuccess() {
        failureShare *= 1 - NEWEST_WEIGHT;
    }
}
