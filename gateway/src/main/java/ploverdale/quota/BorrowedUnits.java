package ploverdale.quota;

import java.util.Arrays;
import java.util.OptionalInt;

/**
 * A sub-lease as its borrower knows it: units of a lease holder that may be used here until it expires.
 *
 * <p>Times are tenths of a millisecond of a monotonic clock. Not thread-safe.
 */
final class BorrowedUnits implements UnitSource {
    private final int lender;
    private final int number;
    private final int[] units;
    private long expiresAt;
    private OptionalInt pendingRenewal = OptionalInt.empty();
    private long idleSince;

    /**
     * @param number of the sub-lease, as the lender numbers them
     * @param units by limit; not copied
     */
    BorrowedUnits(int lender, int number, int[] units, long expiresAt, long now) {
        this.lender = lender;
        this.number = number;
        this.units = units;
        this.expiresAt = expiresAt;
        idleSince = now;
    }

    /** The gateway that the units are borrowed of. */
    int lender() {
        return lender;
    }

    /** The lender's number of the sub-lease. */
    int number() {
        return number;
    }

    /** Units of a limit. */
    int units(int limit) {
        return units[limit];
    }

    /** Units by limit, as a copy. */
    int[] allUnits() {
        return units.clone();
    }

    /** Whether the borrower still has units of any limit. */
    boolean hasUnits() {
        return Arrays.stream(units).anyMatch(count -> count > 0);
    }

    /** When the units can no longer be acquired here. */
    long expiresAt() {
        return expiresAt;
    }

    /** Whether the units can no longer be acquired here. */
    boolean isExpired(long now) {
        return now >= expiresAt;
    }

    /** Number of the request to renew that is in flight, if any. */
    OptionalInt pendingRenewal() {
        return pendingRenewal;
    }

    /** A request to renew was sent. */
    void startRenewal(int request) {
        pendingRenewal = OptionalInt.of(request);
    }

    /** The request to renew was not answered in time; another may be sent. */
    void abandonRenewal() {
        pendingRenewal = OptionalInt.empty();
    }

    /** The lender has renewed the sub-lease; never with more units than before. */
    void renew(int[] grantedUnits, long newExpiry) {
        for (int limit = 0; limit < units.length; limit++) {
            reduceTo(limit, grantedUnits[limit]);
        }
        expiresAt = newExpiry;
        pendingRenewal = OptionalInt.empty();
    }

    /** Keeps no more units of a limit than this. */
    void reduceTo(int limit, int keptUnits) {
        units[limit] = Math.min(units[limit], keptUnits);
    }

    /** Whether some units have been idle for longer than that. */
    boolean isIdleLongerThan(long now, long duration) {
        return now - idleSince > duration;
    }

    /** All units are needed, or some were just returned: the idle time starts anew. */
    void restartIdleTime(long now) {
        idleSince = now;
    }
}
