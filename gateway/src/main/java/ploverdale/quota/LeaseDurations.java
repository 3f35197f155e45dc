package ploverdale.quota;

/**
 * How long leases last, in tenths of a millisecond of a clock that never steps. Who holds one counts from before it asked,
 * who gave it from when it gave, and longer by what two clocks may differ; so it is over for the holder before it is for the
 * giver, however long a message took and whatever a process missed meanwhile.
 *
 * @param leaseHolder for how long a steward is promised its estate
 * @param loan for how long parts are lent
 * @param clocksApart by which the clocks of two gateways may run apart, as a share; 0.05 each way is 0.1 between them
 */
public record LeaseDurations(long leaseHolder, long loan, double clocksApart) {
    public LeaseDurations {
        if (leaseHolder <= 0 || loan <= 0 || clocksApart < 0 || clocksApart > 0.5) {
            throw new IllegalArgumentException(
                    "leases of " + leaseHolder + " and " + loan + ", clocks " + clocksApart + " apart");
        }
    }

    /** For how long the one who gave it must wait until it is over for the one who has it. */
    public long overFor(long lease) {
        return (long) Math.ceil(lease * (1 + clocksApart) / (1 - clocksApart)) + 1;
    }
}
