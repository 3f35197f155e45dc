package ploverdale.quota;

import ploverdale.model.Event.Started;
import ploverdale.replication.ReplicationSettings;

/**
 * What the gateways share, and how.
 *
 * @param guaranteedShare of each gateway's entitlement that it owns without a lease
 * @param bytesPerSecond that messages to other gateways may take
 * @param replication what else gateways keep together; null: nothing
 */
public record QuotaSettings(
        SharedLimitSettings limits,
        double guaranteedShare,
        LeaseDurations leaseDurations,
        double bytesPerSecond,
        ReplicationSettings replication) {
    /** Whether gateways share or replicate anything. */
    public boolean any() {
        return limits.any() || replication != null;
    }

    /** How the shared limits are allocated to the gateways of this configuration. */
    public QuotaAllocation allocation(Started configuration) {
        return new QuotaAllocation(
                new SharedLimitTable(limits, configuration).limits(), configuration.gateways(), guaranteedShare);
    }
}
