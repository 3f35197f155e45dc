package ploverdale.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * The units of one shared limit that this gateway holds, each until it expires, and how many of them are spent or in
 * use. A rate limit is a token bucket whose fill rate and size follow the number of units held. Before each access,
 * expired units are removed in the order of their expiry, so a process that was suspended cannot use them.
 *
 * <p>Times are in tenths of a millisecond of a monotonic clock. Not thread-safe: called only on the thread of {@link
 * QuotaProtocol}.
 */
final class HeldUnits {
    private static final double TICKS_PER_SECOND = 10_000;
    /** Retries per maximum hold time that are suggested to a client rejected by a concurrency limit. */
    private static final int RETRIES_PER_HOLD_TIME = 4;

    /** The units that come from one source. */
    private static final class Holding {
        private final UnitSource source;
        private int units;
        private long expiresAt;

        private Holding(UnitSource source, int units, long expiresAt) {
            this.source = source;
            this.units = units;
            this.expiresAt = expiresAt;
        }
    }

    private final SharedLimit limit;
    private final DemandEstimate demand;
    private final List<Holding> holdings = new ArrayList<>();
    private double tokens; // of a rate limit: acquisitions that have accumulated and are not spent
    private long updatedAt;
    private int inUse;
    private long rejected;

    HeldUnits(SharedLimit limit, long now) {
        this.limit = limit;
        demand = new DemandEstimate(now);
        updatedAt = now;
    }

    /** Returns the name of the limit. */
    String name() {
        return limit.name();
    }

    /**
     * Replaces the units that come from a source.
     *
     * @param units 0 removes the source
     * @param expiresAt from when on the units can no longer be acquired; a time that has passed removes the source
     */
    void setUnits(long now, UnitSource source, int units, long expiresAt) {
        advanceTo(now);
        int unitsBefore = totalUnits();
        Holding holding = findHolding(source);
        if (units == 0 || expiresAt <= now) {
            holdings.remove(holding);
        } else if (holding == null) {
            holdings.add(new Holding(source, units, expiresAt));
        } else {
            holding.units = units;
            holding.expiresAt = expiresAt;
        }
        dropTokensOfLostUnits(unitsBefore, totalUnits());
    }

    private Holding findHolding(UnitSource source) {
        for (Holding holding : holdings) {
            if (holding.source == source) {
                return holding;
            }
        }
        return null;
    }

    private int totalUnits() {
        int units = 0;
        for (Holding holding : holdings) {
            units += holding.units;
        }
        return units;
    }

    /**
     * Removes the tokens that accumulated for units no longer held. New units add no tokens, because their former
     * holder may have spent them.
     */
    private void dropTokensOfLostUnits(int unitsBefore, int unitsAfter) {
        if (unitsAfter < unitsBefore) {
            tokens = tokens * unitsAfter / unitsBefore;
        }
    }

    private void advanceTo(long now) {
        for (Holding expired = firstExpired(now); expired != null; expired = firstExpired(now)) {
            long expiry = expired.expiresAt;
            accumulateUntil(Math.max(updatedAt, expiry));
            int unitsBefore = totalUnits();
            holdings.removeIf(holding -> holding.expiresAt <= expiry);
            dropTokensOfLostUnits(unitsBefore, totalUnits());
        }
        accumulateUntil(now);
    }

    private Holding firstExpired(long now) {
        Holding first = null;
        for (Holding holding : holdings) {
            if (holding.expiresAt <= now && (first == null || holding.expiresAt < first.expiresAt)) {
                first = holding;
            }
        }
        return first;
    }

    private void accumulateUntil(long time) {
        double burst = totalUnits() * limit.maxHoldTime() / TICKS_PER_SECOND;
        tokens = Math.min(burst, tokens + totalUnits() * Math.max(0, time - updatedAt) / TICKS_PER_SECOND);
        updatedAt = Math.max(updatedAt, time);
    }

    /** Returns the units that are held now, including those in use. */
    int units(long now) {
        advanceTo(now);
        return totalUnits();
    }

    /** Returns the units that are acquired and not yet released; 0 for a rate limit. */
    int inUse() {
        return inUse;
    }

    /** Acquires a unit; returns false where none is free. The call counts as demand in both cases. */
    boolean tryAcquire(long now) {
        advanceTo(now);
        boolean acquired = limit.kind() == SharedLimit.Kind.RATE ? tryTakeToken(now) : tryUse(now);
        if (!acquired) {
            rejected++;
        }
        return acquired;
    }

    private boolean tryTakeToken(long now) {
        demand.addOne(now);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    private boolean tryUse(long now) {
        demand.raiseTo(now, inUse + 1);
        if (inUse >= totalUnits()) {
            return false;
        }
        inUse++;
        return true;
    }

    /**
     * Returns whether one more unit of a concurrency limit could be acquired; for a rate limit, only whether any units
     * are held. If not, the call counts as demand and as a rejection.
     */
    boolean canUse(long now) {
        advanceTo(now);
        if (inUse < totalUnits()) {
            return true;
        }
        demand.raiseTo(now, inUse + 1);
        rejected++;
        return false;
    }

    /** Releases an acquired unit of a concurrency limit. */
    void release() {
        inUse--;
    }

    /** Returns the estimated number of units wanted recently; more than are held where acquisitions were rejected. */
    int demand(long now) {
        return demand.units(now);
    }

    /**
     * Returns after how long a rejected client should retry: for a rate limit, when the next token accumulates; for a
     * concurrency limit, or without any units, a fraction of the limit's maximum hold time.
     */
    long retryAfter(long now) {
        advanceTo(now);
        int units = totalUnits();
        if (limit.kind() == SharedLimit.Kind.CONCURRENCY || units == 0) {
            return limit.maxHoldTime() / RETRIES_PER_HOLD_TIME;
        }
        return Math.min(limit.maxHoldTime(), (long) Math.ceil((1 - tokens) * TICKS_PER_SECOND / units));
    }

    /** Returns how often no unit was free since the start. */
    long rejected() {
        return rejected;
    }
}
