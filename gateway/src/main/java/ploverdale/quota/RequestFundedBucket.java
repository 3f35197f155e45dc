package ploverdale.quota;

import ploverdale.model.Quota.HealthCheckReason;

/**
 * Further sends and probes as each gateway earns them with its ops, where they are no budget of the fleet: a storm is several
 * an op, and probes on the timer cost more than they bring where there is nothing to ask.
 */
final class RequestFundedBucket {
    private static final double SENDS_PER_OP = 0.25;
    private static final double PROBES_PER_OP = 0.2;
    private static final double SAVED_MOST = 40; // what one server holds when it dies

    private double sends = SAVED_MOST;
    private double probes;

    /** An op has come. */
    void request() {
        sends = Math.min(SAVED_MOST, sends + SENDS_PER_OP);
        probes = Math.min(SAVED_MOST, probes + PROBES_PER_OP);
    }

    /** Whether a further send is left, beside so many others that are reserved. */
    boolean hasRetry(int reserved) {
        return sends >= 1 + reserved;
    }

    /** Spends a further send; false where none is left. */
    boolean tryAcquireRetry() {
        return sends >= 1 && sends-- >= 1;
    }

    /** Whether a probe may go: one on the timer only where one is left; one for an op in need counts; others are rare. */
    boolean tryAcquireHealthCheck(HealthCheckReason why) {
        boolean may = why != HealthCheckReason.PERIODIC || probes >= 1;
        probes = why == HealthCheckReason.SUSPICION || !may ? probes : Math.max(0, probes - 1);
        return may;
    }
}
