package ploverdale.model;

/**
 * What replicas guarantee about the freshness of reads. Times are {@link Ticks}.
 *
 * @param stalenessCheck what a replica itself does with a read that is too fresh for it
 * @param stalenessCheckWait how long a replica waits for its log, for {@link StalenessCheck#WAITS}
 * @param requestsCarryPositions whether a session's requests bring the position of its last write
 */
public record ReplicaGuarantees(
        StalenessCheck stalenessCheck, long stalenessCheckWait, boolean requestsCarryPositions) {

    /** What a replica does with a read for which it lags too far. */
    public enum StalenessCheck {
        /** It answers with old data. */
        NONE,
        /** It rejects the read. */
        REJECTS,
        /** It waits for its log. */
        WAITS
    }
}
