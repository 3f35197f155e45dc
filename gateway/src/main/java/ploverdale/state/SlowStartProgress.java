package ploverdale.state;

import ploverdale.model.LoadReport;

/**
 * A server's slow start at this gateway: since when it warms up, the token bucket for requests to it meanwhile, and the work that it
 * answered lately. The bucket belongs to {@code SlowStart}.
 */
public final class SlowStartProgress {
    private long coldSince = LoadReport.UNKNOWN_TIME;
    private double credit;
    private long creditAt = LoadReport.UNKNOWN_TIME;
    private long ticketValidUntil = LoadReport.UNKNOWN_TIME;
    private double recentWork;
    private long recentWorkAt;

    /** When the server last started cold. */
    public long coldSince() {
        return coldSince;
    }

    /** The server started cold at this time, if it did not do so later. */
    public void recordColdStart(long at) {
        coldSince = Math.max(coldSince, at);
    }

    /** The server counts as started cold now. */
    public void restart(long now) {
        coldSince = now;
    }

    /** Dates a start that came from the endpoint list anew. */
    public void redateColdStart(long listedBefore, long listedNow) {
        coldSince = coldSince == listedBefore ? listedNow : coldSince;
    }

    /** Work that the bucket has tokens for. */
    public double credit() {
        return credit;
    }

    /** Whether a ticket that was won still admits one request. */
    public boolean hasValidTicket(long now) {
        return now <= ticketValidUntil;
    }

    /** Keeps the bucket from filling up while a ticket waits to be used. */
    public void touchCredit(long now) {
        creditAt = now;
    }

    /** A ticket that was not used in time is void, and the bucket fills up to its size. */
    public void refill(double perWindow, double bucketSize, long window, long now) {
        if (creditAt < coldSince) {
            credit = Math.min(0, credit);
        }
        ticketValidUntil = LoadReport.UNKNOWN_TIME;
        double windows = (now - Math.max(coldSince, creditAt)) / (double) window;
        credit = Math.min(bucketSize, credit + perWindow * Math.max(0, windows));
        creditAt = now;
    }

    /** A ticket was won, which has tokens for one request and is valid until then. */
    public void winTicket(double work, long validUntil) {
        credit = work;
        ticketValidUntil = validUntil;
    }

    /** The lottery was lost, with the tokens that were staked. */
    public void loseLottery() {
        credit = 0;
        ticketValidUntil = LoadReport.UNKNOWN_TIME;
    }

    /** An attempt uses the ticket, if there is one. */
    public void useTicket(long now) {
        if (ticketValidUntil != LoadReport.UNKNOWN_TIME) {
            ticketValidUntil = LoadReport.UNKNOWN_TIME;
            creditAt = now;
        }
    }

    /** Takes tokens, beyond zero too. */
    public void charge(double work) {
        credit -= work;
    }

    /** The work answered lately; older answers fade out over the window. */
    public double recentWork(long window, long now) {
        recentWork *= Math.exp(-(now - recentWorkAt) / (double) window);
        recentWorkAt = now;
        return recentWork;
    }

    /** Adds work that was answered now. */
    public void addWork(double work, long window, long now) {
        recentWork = recentWork(window, now) + work;
    }
}
