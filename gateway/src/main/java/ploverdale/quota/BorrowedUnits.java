package ploverdale.quota;

import java.util.Arrays;
import java.util.OptionalInt;

/**
 * A sub-lease as seen by its borrower: units lent by a lease holder, which may be used here until they expire.
 *
 * <p>Times are in tenths of a millisecond of a monotonic clock. Not thread-safe.
 */
final class BorrowedUnits implements UnitSource {
    private final int lender;
    private final int number;
    private final int[] units;
    private long expiresAt;
    private OptionalInt pendingRenewal = OptionalInt.empty();
    private long idleSince;

    /**
     * Creates the borrower's record of a sub-lease.
     *
     * @param lender number of the gateway that lends the units
     * @param number number of the sub-lease at the lender
     * @param units by limit; not copied
     */
    BorrowedUnits(int lender, int number, int[] units, long expiresAt, long now) {
        this.lender = lender;
        this.number = number;
        this.units = units;
        this.expiresAt = expiresAt;
        idleSince = now;
    }

    /** Returns the number of the gateway that lends the units. */
    int lender() {
        return lender;
    }

    /** Returns the number of the sub-lease at the lender. */
    int number() {
        return number;
    }

    /** Returns the units of a limit. */
    int units(int limit) {
        return units[limit];
    }

    /** Returns a copy of the units by limit. */
    int[] allUnits() {
        return units.clone();
    }

    /** Returns whether units of any limit are left. */
    boolean hasUnits() {
        return Arrays.stream(units).anyMatch(count -> count > 0);
    }

    /** Returns from when on the units can no longer be acquired here. */
    long expiresAt() {
        return expiresAt;
    }

    /** Returns whether the units can no longer be acquired here. */
    boolean isExpired(long now) {
        return now >= expiresAt;
    }

    /** Returns the number of the renewal request in flight, if any. */
    OptionalInt pendingRenewal() {
        return pendingRenewal;
    }

    /** Records that a renewal request was sent. */
    void startRenewal(int request) {
        pendingRenewal = OptionalInt.of(request);
    }

    /** Records that the renewal request was not answered in time, so that another may be sent. */
    void abandonRenewal() {
        pendingRenewal = OptionalInt.empty();
    }

    /**
     * Records that the lender has renewed the sub-lease. A renewal never adds units.
     *
     * @param grantedUnits by limit
     */
    void renew(int[] grantedUnits, long newExpiry) {
        for (int limit = 0; limit < units.length; limit++) {
            reduceTo(limit, grantedUnits[limit]);
        }
        expiresAt = newExpiry;
        pendingRenewal = OptionalInt.empty();
    }

    /** Reduces the units of a limit to at most {@code keptUnits}. */
    void reduceTo(int limit, int keptUnits) {
        units[limit] = Math.min(units[limit], keptUnits);
    }

    /** Returns whether some units have been idle for longer than {@code duration}. */
    boolean isIdleLongerThan(long now, long duration) {
        return now - idleSince > duration;
    }

    /** Restarts the idle time, because all units are needed or some were just returned. */
    void restartIdleTime(long now) {
        idleSince = now;
    }
}
