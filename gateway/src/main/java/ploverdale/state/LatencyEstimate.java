package ploverdale.state;

import ploverdale.model.Ticks;

/**
 * Estimates how long requests of one class take: an exponentially weighted average of the latest answers, and a usual
 * latency that follows it quickly downward and slowly upward, so that the latency during a fault does not become the
 * usual one.
 */
public final class LatencyEstimate {
    /** Multiple of the usual latency that requests at a healthy server rarely exceed. */
    public static final double RARELY_EXCEEDED = 2.5;

    /** Time constant with which the usual latency follows the recent average upward. */
    private static final double RISE_TIME_CONSTANT = Ticks.ofMillis(60_000);
    /** Weight with which the usual latency follows the recent average downward, at each answer. */
    private static final double FALL_WEIGHT = 0.1;
    /** Lower bound of the weight of the newest answer in the recent average. */
    private static final double MIN_WEIGHT = 0.02;
    /** Until this many answers, the usual latency follows the average quickly in both directions. */
    private static final int INITIAL_SAMPLES = 20;

    private double recent;
    private double usual;
    private long samples;
    private long observedAt;

    /** @param initial the estimate before any answer, in ticks */
    public LatencyEstimate(double initial) {
        recent = initial;
        usual = initial;
    }

    /** Returns the latency that requests of this class usually have. */
    public double usual() {
        return usual;
    }

    /** Returns the weight of this class in an average over all requests. */
    public double weight() {
        return 1 + samples;
    }

    /** Records the latency of an answer, in ticks. */
    public void observe(long latency, long now) {
        samples++;
        recent += Math.max(1.0 / samples, MIN_WEIGHT) * (latency - recent);
        usual += usualWeight(now) * (recent - usual);
        observedAt = now;
    }

    private double usualWeight(long now) {
        if (recent < usual || samples < INITIAL_SAMPLES) {
            return FALL_WEIGHT;
        }
        return Math.min(1, (now - observedAt) / RISE_TIME_CONSTANT);
    }
}
