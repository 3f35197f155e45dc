package ploverdale.replication;

import java.util.Set;

/**
 * What is replicated, how often, and how long requests wait for it. Times in tenths of a millisecond. Immutable.
 *
 * @param replicationFactor replicas of each key; of fewer gateways, all
 * @param replicatesSessions whether positions of sessions are replicated
 * @param sessionRetention how long a session's position is retained; reads of an unknown session require data no older
 * @param quorumTimeout how long a request waits for a quorum of replicas at most; then what they know counts as unknown
 * @param resubmissionWindow within which a write may be submitted again under its idempotency key; 0: write outcomes are
 *     not replicated, since such keys are not stable
 * @param retriesMarked whether clients mark what they submit again, so that an unmarked write is a first submission
 * @param synchronousClasses names of the request classes whose responses wait until a majority of replicas has a copy
 * @param synchronousTimeout how long such a response waits at most; then the request fails
 * @param maxEntries entries that this gateway holds at most
 * @param maxClockDifference by which the clocks behind positions and start times may differ at most
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

    /** The largest number of gateways that a fleet with replication may have. */
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

    /** As the check of a fleet's settings prints it, whose spelling is fixed. */
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
