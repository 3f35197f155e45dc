package ploverdale.quota;

import java.util.Optional;

/**
 * Units of a partition that its holder has sub-leased to a borrower, as the lender accounts for them. They are not free before
 * {@link #endsAt}, when the borrower can no longer use any of them.
 *
 * <p>Times are tenths of a millisecond of a monotonic clock. Not thread-safe.
 */
final class SubLease {
    /** Number of units that a renewal has taken back: the borrower cannot name them any more. */
    private static final int WITHDRAWN = 0;

    private final Peer borrower;
    private final int number;
    private final int[] units;
    private long endsAt;

    /**
     * @param number of the lender's own
     * @param units by limit; copied
     * @param endsAt when the last of the units is out of use at the borrower
     */
    SubLease(Peer borrower, int number, int[] units, long endsAt) {
        this.borrower = borrower;
        this.number = number;
        this.units = units.clone();
        this.endsAt = endsAt;
    }

    /** Whether a borrower's message is about this sub-lease. */
    boolean is(Peer otherBorrower, int otherNumber) {
        return number == otherNumber && borrower.equals(otherBorrower);
    }

    /** Whether units of it may still be in use. */
    boolean isOutstanding(long now) {
        return now < endsAt;
    }

    /** Units of a limit. */
    int units(int limit) {
        return units[limit];
    }

    /**
     * Renews the sub-lease with fewer units, perhaps; those that it loses may be in use until its former end.
     *
     * @param keptUnits by limit
     * @return the units that it loses, if any
     */
    Optional<SubLease> renew(int[] keptUnits, long newEnd) {
        int[] withdrawn = new int[units.length];
        boolean any = false;
        for (int limit = 0; limit < units.length; limit++) {
            withdrawn[limit] = units[limit] - keptUnits[limit];
            any |= withdrawn[limit] > 0;
            units[limit] = keptUnits[limit];
        }
        SubLease rest = new SubLease(borrower, WITHDRAWN, withdrawn, endsAt);
        endsAt = newEnd;
        return any ? Optional.of(rest) : Optional.empty();
    }

    /** The borrower neither uses nor acquires more units than this any more. */
    void reduceTo(int limit, int keptUnits) {
        units[limit] = Math.min(units[limit], keptUnits);
    }
}
