package ploverdale.quota;

/**
 * How long leases last, in tenths of a millisecond of a clock that never steps. Who holds one counts from before it asked,
 * who gave it from when it gave, and longer by what two clocks may differ; so it is over for the holder before it is for the
 * giver, however long a message took and whatever a process missed meanwhile.
 *
 * @param partitionLease for how long a steward is promised its estate
 * @param subLease for how long parts are lent
 * @param clockDrift by which the clocks of two gateways may run apart, as a share; 0.05 each way is 0.1 between them
 */
public record LeaseDurations(long partitionLease, long subLease, double clockDrift) {
    public LeaseDurations {
        if (partitionLease <= 0 || subLease <= 0 || clockDrift < 0 || clockDrift > 0.5) {
            throw new IllegalArgumentException(
                    "leases of " + partitionLease + " and " + subLease + ", clocks " + clockDrift + " apart");
        }
    }

    /** For how long the one who gave it must wait until it is over for the one who has it. */
    public long grantorTerm(long lease) {
        return (long) Math.ceil(lease * (1 + clockDrift) / (1 - clockDrift)) + 1;
    }
}
