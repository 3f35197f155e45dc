package ploverdale.state;

import ploverdale.model.LoadReport;

/** The health check of a server that is in flight, if any. Written by {@code HealthChecker}. */
public final class HealthCheckProgress {
    private long sentAt = LoadReport.UNKNOWN_TIME;
    private boolean inFlight;

    /** Returns when the latest health check was sent. */
    public long sentAt() {
        return sentAt;
    }

    /** Returns whether a health check is in flight. */
    public boolean isInFlight() {
        return inFlight;
    }

    /** Returns whether a health check is in flight that was sent less than {@code maxAge} ticks ago. */
    public boolean isInFlightFor(long maxAge, long now) {
        return inFlight && now - sentAt < maxAge;
    }

    /** Records that a health check was sent. */
    public void sent(long now) {
        inFlight = true;
        sentAt = now;
    }

    /** Records that the health check has ended. */
    public void ended() {
        inFlight = false;
    }
}
