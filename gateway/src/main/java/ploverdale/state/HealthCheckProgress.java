package ploverdale.state;

import ploverdale.model.LoadReport;

/** The health check in flight at a server, if any. Written by {@code HealthChecker}. */
public final class HealthCheckProgress {
    private long sentAt = LoadReport.UNKNOWN_TIME;
    private boolean inFlight;

    /** When the latest health check was sent. */
    public long sentAt() {
        return sentAt;
    }

    /** Whether a health check is in flight. */
    public boolean isInFlight() {
        return inFlight;
    }

    /** Whether a health check is in flight and was sent less than so long ago. */
    public boolean isInFlightFor(long lessThan, long now) {
        return inFlight && now - sentAt < lessThan;
    }

    /** A health check was sent. */
    public void sent(long now) {
        inFlight = true;
        sentAt = now;
    }

    /** The health check has ended. */
    public void ended() {
        inFlight = false;
    }
}
