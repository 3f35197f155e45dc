package ploverdale.replication;

import java.util.Set;

/**
 * Settings of replication between gateways. Times are in tenths of a millisecond. Immutable.
 *
 * @param replicationFactor replicas of each key; every gateway, if there are fewer of them
 * @param replicatesSessions whether positions of sessions are replicated
 * @param sessionRetention how long a session's position is retained; reads of a session whose position is unknown
 *     require data that is no older than this
 * @param quorumTimeout longest time that a request waits for a quorum of replicas; after it, the position or the
 *     claim counts as unknown
 * @param resubmissionWindow time within which a client may submit a write again under its idempotency key; 0 if
 *     clients do not keep such keys stable, in which case write outcomes are not replicated
 * @param retriesMarked whether clients mark the writes that they submit again, so that an unmarked write is a first
 *     submission
 * @param synchronousClasses names of the request classes whose responses wait until a majority of replicas has stored
 *     the entry
 * @param synchronousTimeout longest time that such a response waits; after it, the request fails
 * @param maxEntries largest number of entries that this gateway holds
 * @param maxClockDifference largest difference between the clocks that positions and start times are taken from
 */
public record ReplicationSettings(
        int replicationFactor,
        boolean replicatesSessions,
        long sessionRetention,
        long quorumTimeout,
        long resubmissionWindow,
        boolean retriesMarked,
        Set<String> synchronousClasses,
        long synchronousTimeout,
        int maxEntries,
        long maxClockDifference) {
    public ReplicationSettings {
        synchronousClasses = Set.copyOf(synchronousClasses);
        if (replicationFactor < 1
                || replicationFactor > ReplicaSet.MAX_SIZE
                || sessionRetention <= 0
                || maxEntries < 1) {
            throw new IllegalArgumentException(
                    replicationFactor + " copies for " + sessionRetention + ", " + maxEntries + " at most");
        }
    }

    /** Returns the largest number of gateways that a fleet with replication may have. */
    public static int maxGateways() {
        return ReplicaSet.MAX_GATEWAYS;
    }

    /** Whether write outcomes are replicated. */
    public boolean replicatesOutcomes() {
        return resubmissionWindow > 0;
    }

    /** Whether anything is replicated at all. */
    public boolean isEnabled() {
        return replicatesSessions || replicatesOutcomes();
    }

    /** The text is printed by the check of a fleet's settings; its spelling is fixed. */
    @Override
    public String toString() {
        return "ReplicationSettings[copies=" + replicationFactor + ", sessions=" + replicatesSessions + ", sessionsFor="
                + sessionRetention
                + ", askWithin=" + quorumTimeout + ", submitsFor=" + resubmissionWindow + ", retriesMarked="
                + retriesMarked + ", waits=" + synchronousClasses + ", waitWithin=" + synchronousTimeout + ", most="
                + maxEntries
                + ", clocksApart=" + maxClockDifference + "]";
    }
}
