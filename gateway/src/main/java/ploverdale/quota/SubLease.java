package ploverdale.quota;

import java.util.Optional;

/**
 * A sub-lease as seen by its lender: units of a partition that are lent to a borrower. The units are not free before
 * {@link #outstandingUntil}, when the borrower can no longer use any of them.
 *
 * <p>Times are in tenths of a millisecond of a monotonic clock. Not thread-safe.
 */
final class SubLease {
    /** Number of sub-leases that stand for units withdrawn by a renewal; no message of a borrower refers to it. */
    private static final int WITHDRAWN_NUMBER = 0;

    private final Peer borrower;
    private final int number;
    private final int[] units;
    private long outstandingUntil;

    /**
     * Creates a sub-lease.
     *
     * @param number assigned by the lender
     * @param units by limit; copied
     * @param outstandingUntil when the borrower can no longer use any of the units
     */
    SubLease(Peer borrower, int number, int[] units, long outstandingUntil) {
        this.borrower = borrower;
        this.number = number;
        this.units = units.clone();
        this.outstandingUntil = outstandingUntil;
    }

    /** Returns whether this is the sub-lease of a given borrower with a given number. */
    boolean matches(Peer otherBorrower, int otherNumber) {
        return number == otherNumber && borrower.equals(otherBorrower);
    }

    /** Returns whether units of the sub-lease may still be in use. */
    boolean isOutstanding(long now) {
        return now < outstandingUntil;
    }

    /** Returns the units of a limit. */
    int units(int limit) {
        return units[limit];
    }

    /**
     * Renews the sub-lease, possibly with fewer units. Units that are withdrawn may be in use until the former end.
     *
     * @param keptUnits by limit; no more than the sub-lease has
     * @param newOutstandingUntil when the borrower can no longer use any of the kept units
     * @return a sub-lease of the withdrawn units until the former end, or empty where none were withdrawn
     */
    Optional<SubLease> renew(int[] keptUnits, long newOutstandingUntil) {
        int[] withdrawn = new int[units.length];
        boolean anyWithdrawn = false;
        for (int limit = 0; limit < units.length; limit++) {
            withdrawn[limit] = units[limit] - keptUnits[limit];
            anyWithdrawn |= withdrawn[limit] > 0;
            units[limit] = keptUnits[limit];
        }
        SubLease withdrawnSubLease = new SubLease(borrower, WITHDRAWN_NUMBER, withdrawn, outstandingUntil);
        outstandingUntil = newOutstandingUntil;
        return anyWithdrawn ? Optional.of(withdrawnSubLease) : Optional.empty();
    }

    /** Records that the borrower neither uses nor acquires more than {@code keptUnits} of a limit from now on. */
    void reduceTo(int limit, int keptUnits) {
        units[limit] = Math.min(units[limit], keptUnits);
    }
}
