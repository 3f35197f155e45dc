package ploverdale.quota;

/**
 * The terms of leases, in tenths of a millisecond of a monotonic clock, and the bound on clock drift that they rely on
 * (Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache consistency", 1989).
 *
 * <p>The holder measures a term from the time before it sent its request. The grantor measures it from the time of its
 * grant, and extends it by the amount that two clocks may drift apart. A lease therefore expires at its holder before
 * it does at its grantor, however long a message was delayed or a process was suspended.
 *
 * @param partitionLease term of a partition lease, which acceptors grant
 * @param subLease term of a sub-lease of units, which a lease holder grants
 * @param clockDrift the share by which each clock may run fast or slow; with 0.05, two clocks drift apart by at most
 *     0.1 of the elapsed time
 */
public record LeaseDurations(long partitionLease, long subLease, double clockDrift) {
    private static final double MAX_CLOCK_DRIFT = 0.5;

    public LeaseDurations {
        if (partitionLease <= 0 || subLease <= 0 || clockDrift < 0 || clockDrift > MAX_CLOCK_DRIFT) {
            throw new IllegalArgumentException(
                    "leases of " + partitionLease + " and " + subLease + ", clocks " + clockDrift + " apart");
        }
    }

    /**
     * Returns how long the grantor of a lease must wait after its grant until the lease has certainly expired at the
     * holder.
     *
     * @param lease term of the lease at the holder
     */
    public long grantorTerm(long lease) {
        return (long) Math.ceil(lease * (1 + clockDrift) / (1 - clockDrift)) + 1;
    }

    /** Returns how long an acceptor must regard a partition lease as valid. */
    long partitionGrantorTerm() {
        return grantorTerm(partitionLease);
    }

    /**
     * Returns how long sub-leased units must not be used by anyone but the borrower: until the sub-lease has certainly
     * expired there, and then for as long as a unit that was acquired at the last moment may stay in use.
     *
     * @param maxHoldTime the longest time that a unit may stay in use after it was acquired
     */
    long quarantine(long maxHoldTime) {
        return grantorTerm(subLease) + grantorTerm(maxHoldTime);
    }
}
