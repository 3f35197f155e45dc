package ploverdale.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The lease of one partition as the gateway that holds it, or asks for it, knows it, and the sub-leases of its units. Units
 * are free when they are neither sub-leased nor possibly still in use by a former borrower.
 *
 * <p>Times are tenths of a millisecond of a monotonic clock. Not thread-safe, called on the thread of {@link QuotaProtocol}.
 */
final class LeasePartition implements UnitSource {
    /**
     * State of the lease.
     *
     * <table>
     * <caption>Transitions</caption>
     * <tr><th>from</th><th>on</th><th>to</th></tr>
     * <tr><td>UNLEASED</td><td>a majority of the acceptors grants a round</td><td>QUARANTINED</td></tr>
     * <tr><td>QUARANTINED</td><td>all that an earlier holder may have sub-leased or used has ended</td><td>SERVING</td></tr>
     * <tr><td>QUARANTINED, SERVING</td><td>a majority grants a later round: renewed</td><td>the same</td></tr>
     * <tr><td>QUARANTINED, SERVING</td><td>the lease expires</td><td>UNLEASED</td></tr>
     * </table>
     */
    enum State {
        /** Not held here. */
        UNLEASED,
        /** Held here, but units may still be in use on behalf of an earlier holder. */
        QUARANTINED,
        /** Held here; free units may be used and sub-leased. */
        SERVING
    }

    private final int number;
    private final LeaseDurations durations;
    private final long longestUse;
    private final List<SubLease> subLeases = new ArrayList<>();
    private long expiresAt = Long.MIN_VALUE;
    private long servesFrom = Long.MIN_VALUE;
    private int round;
    private long roundStartedAt = Long.MIN_VALUE / 2; // long ago, without overflow in a difference
    private long acceptorsOfRound; // those that have granted this round, a bit for each place

    /**
     * @param number of the gateway that the partition belongs to
     * @param longestUse for how long a unit may stay in use once it was acquired
     */
    LeasePartition(int number, LeaseDurations durations, long longestUse) {
        this.number = number;
        this.durations = durations;
        this.longestUse = longestUse;
    }

    /** Number of the gateway that the partition belongs to. */
    int number() {
        return number;
    }

    /** Holds the partition for good, where there are no other acceptors; still after a quarantine. */
    void holdForever(long now) {
        expiresAt = Long.MAX_VALUE;
        servesFrom = now + quarantine();
    }

    private long quarantine() {
        return durations.quarantine(longestUse);
    }

    /** Starts a round of requests to the acceptors; grants of earlier rounds are ignored from now on. */
    void startRound(long now, int newRound) {
        round = newRound;
        roundStartedAt = now;
        acceptorsOfRound = 0;
    }

    /** Whether the latest round was started at least so long ago. */
    boolean isRoundOlderThan(long now, long age) {
        return now - roundStartedAt >= age;
    }

    /**
     * An acceptor has granted a round. With a majority the lease is valid for its term from the start of the round.
     *
     * @param place of the acceptor among those of the partition
     */
    void onGrant(long now, int grantedRound, int place, int majority) {
        if (grantedRound != round) {
            return;
        }
        acceptorsOfRound |= 1L << place;
        long newExpiry = roundStartedAt + durations.partitionLease();
        if (Long.bitCount(acceptorsOfRound) < majority || newExpiry <= now) {
            return;
        }
        if (state(now) == State.UNLEASED) {
            servesFrom = now + quarantine(); // another gateway may have held it in between
        }
        expiresAt = Math.max(expiresAt, newExpiry);
    }

    /** The state of the lease now; it expires by itself. */
    State state(long now) {
        if (now >= expiresAt) {
            return State.UNLEASED;
        }
        return now < servesFrom ? State.QUARANTINED : State.SERVING;
    }

    /** Whether units of the partition may be used and sub-leased here. */
    boolean isServing(long now) {
        return state(now) == State.SERVING;
    }

    /** When the lease expires unless it is renewed; in the past where it is not held. */
    long expiresAt() {
        return expiresAt;
    }

    /** Units of a limit that are sub-leased, or may still be in use for a sub-lease that has expired. */
    int outstandingUnits(long now, int limit) {
        int units = 0;
        for (SubLease subLease : subLeases) {
            units += subLease.isOutstanding(now) ? subLease.units(limit) : 0;
        }
        return units;
    }

    /** Sub-leases units that are free; {@code units} is by limit. */
    void grantSubLease(long now, Peer borrower, int subLeaseNumber, int[] units) {
        subLeases.removeIf(subLease -> !subLease.isOutstanding(now));
        subLeases.add(new SubLease(borrower, subLeaseNumber, units, now + quarantine()));
    }

    /** The borrower's sub-lease of that number, if it is outstanding. */
    Optional<SubLease> findSubLease(long now, Peer borrower, int subLeaseNumber) {
        return subLeases.stream()
                .filter(subLease -> subLease.is(borrower, subLeaseNumber) && subLease.isOutstanding(now))
                .findFirst();
    }

    /** Renews a sub-lease from now on, with fewer units perhaps; {@code keptUnits} is by limit. */
    void renewSubLease(long now, SubLease subLease, int[] keptUnits) {
        subLease.renew(keptUnits, now + quarantine()).ifPresent(subLeases::add);
    }
}
