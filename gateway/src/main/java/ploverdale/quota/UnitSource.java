package ploverdale.quota;

/**
 * What entitles this gateway to units: its guaranteed minimum, a partition lease, or a sub-lease. Sources are compared
 * by identity.
 */
sealed interface UnitSource permits UnitSource.Guaranteed, LeasePartition, BorrowedUnits {
    /** The guaranteed minimum, which needs no lease. */
    enum Guaranteed implements UnitSource {
        INSTANCE
    }
}
