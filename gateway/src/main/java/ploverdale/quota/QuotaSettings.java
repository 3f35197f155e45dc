package ploverdale.quota;

import ploverdale.model.Event.Started;
import ploverdale.replication.ReplicationSettings;

/**
 * The settings of what gateways share with each other: limits and replicated entries.
 *
 * @param limits which limits are shared
 * @param guaranteedShare share of its entitlement that each gateway owns without a lease
 * @param leaseDurations terms of leases and sub-leases
 * @param bytesPerSecond bandwidth limit for the packets sent to other gateways
 * @param replication settings of the entries that gateways replicate; null where replication is disabled
 */
public record QuotaSettings(
        SharedLimitSettings limits,
        double guaranteedShare,
        LeaseDurations leaseDurations,
        double bytesPerSecond,
        ReplicationSettings replication) {
    /** Returns whether gateways share any limit or replicate entries. */
    public boolean hasSharedState() {
        return limits.hasSharedLimits() || replication != null;
    }

    /** Returns the allocation of the shared limits to the gateways of a configuration. */
    public QuotaAllocation allocation(Started configuration) {
        return new QuotaAllocation(
                new SharedLimitTable(limits, configuration).limits(), configuration.gateways(), guaranteedShare);
    }
}
