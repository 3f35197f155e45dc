package ploverdale.model;

/** How the replicas follow and what they say of it. */
public record ReplicaGuarantees(StalenessCheck checks, long checkWait, boolean tokensCarried) {

    /** What a replica does with a read for which it lags too far. */
    public enum StalenessCheck {
        NONE,
        TURNS_AWAY,
        WAITS
    }
}
