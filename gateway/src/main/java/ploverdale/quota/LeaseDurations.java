package ploverdale.quota;

/**
 * The terms of leases, in tenths of a millisecond of a monotonic clock, and the bound on clock drift that they rely on (Gray
 * and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache consistency", 1989).
 *
 * <p>A holder counts a term from before it sent the request; a grantor counts from when it granted, and longer by what two
 * clocks may drift apart. So a lease expires for its holder before it does for its grantor, however long a message took and
 * however long a process was suspended.
 *
 * @param partitionLease term of the lease of a partition, which acceptors grant
 * @param subLease term of a sub-lease of units, which a lease holder grants
 * @param clockDrift by which each clock may run fast or slow, as a share: with 0.05 two clocks differ by 0.1 at most
 */
public record LeaseDurations(long partitionLease, long subLease, double clockDrift) {
    private static final double MAX_CLOCK_DRIFT = 0.5;

    public LeaseDurations {
        if (partitionLease <= 0 || subLease <= 0 || clockDrift < 0 || clockDrift > MAX_CLOCK_DRIFT) {
            throw new IllegalArgumentException(
                    "leases of " + partitionLease + " and " + subLease + ", clocks " + clockDrift + " apart");
        }
    }

    /** For how long the grantor of a lease has to wait until it has surely expired at its holder. */
    public long grantorTerm(long lease) {
        return (long) Math.ceil(lease * (1 + clockDrift) / (1 - clockDrift)) + 1;
    }

    /** For how long a grantor has to regard a partition's lease as valid. */
    long partitionGrantorTerm() {
        return grantorTerm(partitionLease);
    }

    /**
     * For how long units that were sub-leased may be used elsewhere: until the sub-lease has expired there, and then for as
     * long as a unit stays in use.
     *
     * @param longestUse for how long a unit may stay in use once it was acquired
     */
    long quarantine(long longestUse) {
        return grantorTerm(subLease) + grantorTerm(longestUse);
    }
}
