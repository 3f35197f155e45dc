package ploverdale.state;

import ploverdale.model.Ticks;

/**
 * How long requests of one class take: an exponentially weighted average of the latest answers, and a usual latency that follows it
 * down quickly and up slowly, so that a fault does not become the usual.
 */
public final class LatencyEstimate {
    /** Multiple of the usual latency that few requests of a good server exceed. */
    public static final double RARELY_EXCEEDED = 2.5;

    private static final double RISES_IN = Ticks.ofMillis(60_000);
    private static final double FALL_WEIGHT = 0.1;
    private static final double LEAST_WEIGHT = 0.02;
    private static final int FIRST_SAMPLES = 20;

    private double recent;
    private double usual;
    private long samples;
    private long observedAt;

    /** @param initial what requests are taken to need before any was answered */
    public LatencyEstimate(double initial) {
        recent = initial;
        usual = initial;
    }

    /** The latency that requests of this class usually have. */
    public double usual() {
        return usual;
    }

    /** The weight of this class in a mean over all requests. */
    public double weight() {
        return 1 + samples;
    }

    /** A request took so long. */
    public void observe(long latency, long now) {
        samples++;
        recent += Math.max(1.0 / samples, LEAST_WEIGHT) * (latency - recent);
        usual += usualWeight(now) * (recent - usual);
        observedAt = now;
    }

    private double usualWeight(long now) {
        if (recent < usual || samples < FIRST_SAMPLES) {
            return FALL_WEIGHT;
        }
        return Math.min(1, (now - observedAt) / RISES_IN);
    }
}
