package ploverdale.model;

/**
 * What replicas guarantee about the freshness of reads. Times are {@link Ticks}.
 *
 * @param stalenessCheck what a replica does with a read that needs more recent data than it has applied
 * @param stalenessCheckWait how long a replica waits to catch up before it rejects, for {@link StalenessCheck#WAITS}
 * @param requestsCarryPositions whether a session's requests carry the position of the session's last write
 */
public record ReplicaGuarantees(
        StalenessCheck stalenessCheck, long stalenessCheckWait, boolean requestsCarryPositions) {

    /** What a replica does with a read for which it lags too far behind. */
    public enum StalenessCheck {
        /** It does not check, and answers with stale data. */
        NONE,
        /** It rejects the read. */
        REJECTS,
        /** It waits until it has caught up. */
        WAITS
    }
}
