package ploverdale.state;

import ploverdale.model.LoadReport;

/**
 * A server's slow start at this gateway: when it began, the token bucket that limits requests meanwhile, and the work
 * that the server has answered recently. {@code SlowStart} manages the bucket.
 */
public final class SlowStartProgress {
    private long slowStartAt = LoadReport.UNKNOWN_TIME;
    private double tokens;
    /** Until when the bucket has been refilled. */
    private long lastRefillAt = LoadReport.UNKNOWN_TIME;

    private long ticketValidUntil = LoadReport.UNKNOWN_TIME;
    private double recentWork;
    private long recentWorkAt;

    /** Returns when the server's latest slow start began. */
    public long slowStartAt() {
        return slowStartAt;
    }

    /** Records that slow start began at this time, unless a later beginning is known. */
    public void recordStart(long at) {
        slowStartAt = Math.max(slowStartAt, at);
    }

    /** Begins slow start anew, as if the server had started now. */
    public void restart(long now) {
        slowStartAt = now;
    }

    /**
     * Replaces a start time that came from the endpoint list, after the offset of the servers' wall clock has changed.
     */
    public void redateStart(long listedBefore, long listedNow) {
        slowStartAt = slowStartAt == listedBefore ? listedNow : slowStartAt;
    }

    /** Returns the tokens in the bucket, in units of work; negative after more was charged than was in it. */
    public double tokens() {
        return tokens;
    }

    /** Returns whether a ticket won in the lottery still admits one request. */
    public boolean hasValidTicket(long now) {
        return now <= ticketValidUntil;
    }

    /** Skips the refill up to now, so that the bucket does not fill up while a ticket waits to be used. */
    public void skipRefill(long now) {
        lastRefillAt = now;
    }

    /**
     * Refills the bucket for the time since its last refill. Voids a ticket that was not used in time.
     *
     * @param perWindow the refill in a window, in units of work
     * @param bucketSize the largest number of tokens
     */
    public void refill(double perWindow, double bucketSize, long window, long now) {
        if (lastRefillAt < slowStartAt) {
            tokens = Math.min(0, tokens);
        }
        ticketValidUntil = LoadReport.UNKNOWN_TIME;
        double windows = (now - Math.max(slowStartAt, lastRefillAt)) / (double) window;
        tokens = Math.min(bucketSize, tokens + perWindow * Math.max(0, windows));
        lastRefillAt = now;
    }

    /**
     * Issues a ticket for one request.
     *
     * @param work tokens for the request
     * @param validUntil when the ticket expires, in ticks
     */
    public void winTicket(double work, long validUntil) {
        tokens = work;
        ticketValidUntil = validUntil;
    }

    /** Takes the tokens that were staked in a lost lottery. */
    public void loseLottery() {
        tokens = 0;
        ticketValidUntil = LoadReport.UNKNOWN_TIME;
    }

    /** Uses up the ticket, if there is one, for an attempt. */
    public void useTicket(long now) {
        if (ticketValidUntil != LoadReport.UNKNOWN_TIME) {
            ticketValidUntil = LoadReport.UNKNOWN_TIME;
            lastRefillAt = now;
        }
    }

    /** Takes tokens for work; the bucket may become negative. */
    public void charge(double work) {
        tokens -= work;
    }

    /** Returns the work answered recently, with exponential decay over the window. */
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
