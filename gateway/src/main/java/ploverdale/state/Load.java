package ploverdale.state;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ploverdale.model.RequestId;
import ploverdale.model.Ticks;

/**
 * The load of a server as seen by this gateway: its own attempts in flight, the concurrency limit, latency inflation
 * (latency as a multiple of the usual latency of the request class) and the utilization that the server reports.
 * Written by {@code ConcurrencyLimiter}.
 */
public final class Load {
    /** Time constant with which a latency inflation that no newer answer confirms decays. */
    private static final double INFLATION_DECAY_TIME = Ticks.ofMillis(4000);

    private final Map<RequestId, PendingRequest> inFlight = new LinkedHashMap<>();
    private double limit;
    private double objectiveRatio;
    private double utilization;
    private double inflation = 1;
    private long inflationAt;

    Load(double limit) {
        this.limit = limit;
    }

    /** Returns the requests with an attempt in flight at the server, oldest attempt first. */
    public Collection<PendingRequest> inFlight() {
        return inFlight.values();
    }

    /** Returns how many attempts are in flight. */
    public int attemptsInFlight() {
        return inFlight.size();
    }

    /** Records that an attempt of this request has begun. */
    public void attemptStarted(PendingRequest request) {
        inFlight.put(request.id(), request);
    }

    /** Removes the request of an attempt that has ended and returns it; null if it is not in flight. */
    public PendingRequest attemptEnded(RequestId request) {
        return inFlight.remove(request);
    }

    /** Returns the requests in flight whose attempts began at this time or later, oldest first. */
    public List<PendingRequest> startedSince(long time) {
        return inFlight.values().stream()
                .filter(request -> request.attemptStartedAt() >= time)
                .toList();
    }

    /** Returns how many of the attempts in flight began at this time or later. */
    public int countStartedSince(long time) {
        int count = 0;
        for (PendingRequest request : inFlight.values()) {
            count += request.attemptStartedAt() >= time ? 1 : 0;
        }
        return count;
    }

    /** Returns the concurrency limit: how many attempts may be in flight. */
    public double limit() {
        return limit;
    }

    /** Sets the concurrency limit. */
    public void limitTo(double newLimit) {
        limit = newLimit;
    }

    /** Returns the moving average of latency as a part of the requests' latency objective. */
    public double objectiveRatio() {
        return objectiveRatio;
    }

    /** Moves the average of {@link #objectiveRatio} toward the newest value. */
    public void recordObjectiveRatio(double newest, double weight) {
        objectiveRatio += weight * (newest - objectiveRatio);
    }

    /** Returns the busy share of the server's cores according to its latest load report. */
    public double utilization() {
        return utilization;
    }

    /** Records the reported utilization; NaN, for a report without utilization, is ignored. */
    public void recordUtilization(double reported) {
        utilization = Double.isNaN(reported) ? utilization : reported;
    }

    /** Returns the latency inflation when it was last measured. */
    public double measuredInflation() {
        return inflation;
    }

    /** Returns the current latency inflation, decayed toward 1 since it was last measured. */
    public double inflation(long now) {
        return 1 + (inflation - 1) * Math.exp(-(now - inflationAt) / INFLATION_DECAY_TIME);
    }

    /** Returns how long ago the latency inflation was last measured, in ticks. */
    public long inflationAge(long now) {
        return now - inflationAt;
    }

    /** Moves the latency inflation toward the newest value. */
    public void recordInflation(double newest, double weight, long now) {
        inflation = inflation(now) + weight * (newest - inflation(now));
        inflationAt = now;
    }

    /** Resets the latency inflation, after a restart of the server. */
    public void forgetInflation() {
        inflation = 1;
    }
}
