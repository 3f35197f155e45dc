package ploverdale.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The lease of one partition, as seen by the gateway that holds or requests it, and the sub-leases of its units. A
 * unit is free if it is neither sub-leased nor possibly still in use by an earlier borrower.
 *
 * <p>Times are in tenths of a millisecond of a monotonic clock. Not thread-safe: called only on the thread of {@link
 * QuotaProtocol}.
 */
final class LeasePartition implements UnitSource {
    /**
     * State of the lease.
     *
     * <table>
     * <caption>Transitions</caption>
     * <tr><th>from</th><th>on</th><th>to</th></tr>
     * <tr><td>UNLEASED</td><td>a majority of the acceptors grants a round</td><td>QUARANTINED</td></tr>
     * <tr><td>QUARANTINED</td><td>all uses and sub-leases by an earlier holder have ended</td><td>SERVING</td></tr>
     * <tr><td>QUARANTINED, SERVING</td><td>a majority grants a later round: renewed</td><td>unchanged</td></tr>
     * <tr><td>QUARANTINED, SERVING</td><td>the lease expires</td><td>UNLEASED</td></tr>
     * </table>
     */
    enum State {
        /** This gateway does not hold the lease. */
        UNLEASED,
        /** This gateway holds the lease, but units may still be in use that an earlier holder used or sub-leased. */
        QUARANTINED,
        /** This gateway holds the lease; free units may be used and sub-leased. */
        SERVING
    }

    private final int number;
    private final LeaseDurations durations;
    private final long maxHoldTime;
    private final List<SubLease> subLeases = new ArrayList<>();
    private long expiresAt = Long.MIN_VALUE;
    private long servesFrom = Long.MIN_VALUE;
    private int round;
    private long roundStartedAt = Long.MIN_VALUE / 2; // in the far past; halved to avoid overflow when it is subtracted
    private long acceptorsOfRound; // bit set of the indexes of the acceptors that have granted this round

    /**
     * Creates a partition whose lease is not held.
     *
     * @param number number of the gateway that the partition belongs to
     * @param maxHoldTime the longest time that a unit may stay in use after it was acquired
     */
    LeasePartition(int number, LeaseDurations durations, long maxHoldTime) {
        this.number = number;
        this.durations = durations;
        this.maxHoldTime = maxHoldTime;
    }

    /** Returns the number of the gateway that the partition belongs to. */
    int number() {
        return number;
    }

    /** Holds the lease permanently, where there are no other acceptors. The quarantine still applies. */
    void holdForever(long now) {
        expiresAt = Long.MAX_VALUE;
        servesFrom = now + quarantine();
    }

    private long quarantine() {
        return durations.quarantine(maxHoldTime);
    }

    /** Starts a round of requests to the acceptors. Grants of earlier rounds are ignored from now on. */
    void startRound(long now, int newRound) {
        round = newRound;
        roundStartedAt = now;
        acceptorsOfRound = 0;
    }

    /** Returns whether the latest round was started at least {@code age} ago. */
    boolean isRoundOlderThan(long now, long age) {
        return now - roundStartedAt >= age;
    }

    /**
     * Called when an acceptor has granted a round. With a majority, the lease is valid for its term from the start of
     * the round.
     *
     * @param acceptorIndex its index among those of the partition
     * @param majority number of acceptors that must grant the lease
     */
    void onGrant(long now, int grantedRound, int acceptorIndex, int majority) {
        if (grantedRound != round) {
            return;
        }
        acceptorsOfRound |= 1L << acceptorIndex;
        long newExpiry = roundStartedAt + durations.partitionLease();
        if (Long.bitCount(acceptorsOfRound) < majority || newExpiry <= now) {
            return;
        }
        if (state(now) == State.UNLEASED) {
            servesFrom = now + quarantine(); // another gateway may have held it in between
        }
        expiresAt = Math.max(expiresAt, newExpiry);
    }

    /** Returns the state of the lease at the given time; a lease expires without a further call. */
    State state(long now) {
        if (now >= expiresAt) {
            return State.UNLEASED;
        }
        return now < servesFrom ? State.QUARANTINED : State.SERVING;
    }

    /** Returns whether units of the partition may be used and sub-leased by this gateway. */
    boolean isServing(long now) {
        return state(now) == State.SERVING;
    }

    /** Returns when the lease expires unless it is renewed; a time in the past where it is not held. */
    long expiresAt() {
        return expiresAt;
    }

    /**
     * Returns the units of a limit that are sub-leased, or may still be in use under an expired or reduced sub-lease.
     */
    int outstandingUnits(long now, int limit) {
        int units = 0;
        for (SubLease subLease : subLeases) {
            units += subLease.isOutstanding(now) ? subLease.units(limit) : 0;
        }
        return units;
    }

    /**
     * Records a new sub-lease of free units.
     *
     * @param units by limit
     */
    void grantSubLease(long now, Peer borrower, int subLeaseNumber, int[] units) {
        subLeases.removeIf(subLease -> !subLease.isOutstanding(now));
        subLeases.add(new SubLease(borrower, subLeaseNumber, units, now + quarantine()));
    }

    /** Returns the sub-lease of a borrower with a given number, if it is outstanding. */
    Optional<SubLease> findSubLease(long now, Peer borrower, int subLeaseNumber) {
        return subLeases.stream()
                .filter(subLease -> subLease.matches(borrower, subLeaseNumber) && subLease.isOutstanding(now))
                .findFirst();
    }

    /**
     * Renews a sub-lease for a full term from now on, possibly with fewer units.
     *
     * @param keptUnits by limit; no more than the sub-lease has
     */
    void renewSubLease(long now, SubLease subLease, int[] keptUnits) {
        subLease.renew(keptUnits, now + quarantine()).ifPresent(subLeases::add);
    }
}
