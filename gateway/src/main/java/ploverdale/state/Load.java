package ploverdale.state;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ploverdale.model.RequestId;
import ploverdale.model.Ticks;

/**
 * A server's load as this gateway sees it: its own attempts in flight, the concurrency limit, latency inflation (latency as a
 * multiple of what the request classes usually take) and the utilization that the server reports. Written by
 * {@code ConcurrencyLimiter}.
 */
public final class Load {
    /** Slowness that no newer answer confirms fades with this time constant. */
    private static final double INFLATION_FADES_IN = Ticks.ofMillis(4000);

    private final Map<RequestId, PendingRequest> inFlight = new LinkedHashMap<>();
    private double limit;
    private double pressure;
    private double utilization;
    private double inflation = 1;
    private long inflationAt;

    Load(double limit) {
        this.limit = limit;
    }

    /** The requests with an attempt in flight here, oldest attempt first. */
    public Collection<PendingRequest> inFlight() {
        return inFlight.values();
    }

    /** How many attempts are in flight. */
    public int attemptsInFlight() {
        return inFlight.size();
    }

    /** An attempt of this request begins. */
    public void attemptStarted(PendingRequest request) {
        inFlight.put(request.id(), request);
    }

    /** Takes the ended attempt's request out; null if there is none. */
    public PendingRequest attemptEnded(RequestId request) {
        return inFlight.remove(request);
    }

    /** The attempts begun since this time, oldest first. */
    public List<PendingRequest> startedSince(long time) {
        return inFlight.values().stream()
                .filter(request -> request.attemptStartedAt() >= time)
                .toList();
    }

    /** How many attempts were begun since this time. */
    public int countStartedSince(long time) {
        int count = 0;
        for (PendingRequest request : inFlight.values()) {
            count += request.attemptStartedAt() >= time ? 1 : 0;
        }
        return count;
    }

    /** How many attempts may be in flight. */
    public double limit() {
        return limit;
    }

    /** Changes the limit. */
    public void limitTo(double newLimit) {
        limit = newLimit;
    }

    /** Moving average of latency as a part of the requests' latency objective. */
    public double pressure() {
        return pressure;
    }

    /** Moves the average of latency toward the newest answer. */
    public void recordPressure(double newest, double weight) {
        pressure += weight * (newest - pressure);
    }

    /** The busy part of the server's cores by its latest report. */
    public double utilization() {
        return utilization;
    }

    /** Takes over the reported utilization; NaN reports none. */
    public void recordUtilization(double reported) {
        utilization = Double.isNaN(reported) ? utilization : reported;
    }

    /** The latency inflation as it was last measured. */
    public double measuredInflation() {
        return inflation;
    }

    /** The latency inflation now, faded toward none since it was last measured. */
    public double inflation(long now) {
        return 1 + (inflation - 1) * Math.exp(-(now - inflationAt) / INFLATION_FADES_IN);
    }

    /** How long ago the latency inflation was last measured. */
    public long inflationAge(long now) {
        return now - inflationAt;
    }

    /** Moves the latency inflation toward the newest answer. */
    public void recordInflation(double newest, double weight, long now) {
        inflation = inflation(now) + weight * (newest - inflation(now));
        inflationAt = now;
    }

    /** A restarted server has no history of slowness. */
    public void forgetInflation() {
        inflation = 1;
    }
}
