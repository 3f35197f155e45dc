package ploverdale.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * The units of one shared limit that this gateway holds, each until its lease expires, and what of them is spent or in use.
 * A rate is a token bucket whose fill rate and size follow the units that are held. Expired units are dropped before
 * each access, each at its own time, so a process that was suspended cannot use them.
 *
 * <p>Times are tenths of a millisecond of a monotonic clock. Not thread-safe, called on the thread of {@link QuotaProtocol}.
 */
final class HeldUnits {
    private static final double SECOND = 10_000;
    private static final int RETRIES_PER_HOLD_TIME = 4; // until a unit in use may be released, on a rejection

    /** Units of one source. */
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
    private double tokens; // of a rate: units that have accumulated and are not spent
    private long updatedAt;
    private int inUse;
    private long rejected;

    HeldUnits(SharedLimit limit, long now) {
        this.limit = limit;
        demand = new DemandEstimate(now);
        updatedAt = now;
    }

    /** The name of the limit. */
    String name() {
        return limit.name();
    }

    /** From now on so many units are held of that source, until then; with 0 units, or a time that has passed, none. */
    void set(long now, UnitSource source, int units, long expiresAt) {
        advanceTo(now);
        int before = total();
        Holding holding = find(source);
        if (units == 0 || expiresAt <= now) {
            holdings.remove(holding);
        } else if (holding == null) {
            holdings.add(new Holding(source, units, expiresAt));
        } else {
            holding.units = units;
            holding.expiresAt = expiresAt;
        }
        dropTokensOfLostUnits(before, total());
    }

    private Holding find(UnitSource source) {
        for (Holding holding : holdings) {
            if (holding.source == source) {
                return holding;
            }
        }
        return null;
    }

    private int total() {
        int units = 0;
        for (Holding holding : holdings) {
            units += holding.units;
        }
        return units;
    }

    /** Tokens go with the units that earned them; new units bring none: their former holder may have spent them. */
    private void dropTokensOfLostUnits(int before, int after) {
        if (after < before) {
            tokens = tokens * after / before;
        }
    }

    private void advanceTo(long now) {
        for (Holding expired = firstExpired(now); expired != null; expired = firstExpired(now)) {
            long expiry = expired.expiresAt;
            accumulateUntil(Math.max(updatedAt, expiry));
            int before = total();
            holdings.removeIf(holding -> holding.expiresAt <= expiry);
            dropTokensOfLostUnits(before, total());
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
        double burst = total() * limit.maxHoldTime() / SECOND;
        tokens = Math.min(burst, tokens + total() * Math.max(0, time - updatedAt) / SECOND);
        updatedAt = Math.max(updatedAt, time);
    }

    /** Units that are held now, those in use included. */
    int units(long now) {
        advanceTo(now);
        return total();
    }

    /** Units that were acquired and not released yet; 0 for a rate. */
    int inUse() {
        return inUse;
    }

    /** Acquires a unit; false where none is free. It counts as demand in both cases. */
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
        if (inUse >= total()) {
            return false;
        }
        inUse++;
        return true;
    }

    /** Whether one more unit could be used; counts as demand, and as a rejection, where not. */
    boolean canUse(long now) {
        advanceTo(now);
        if (inUse < total()) {
            return true;
        }
        demand.raiseTo(now, inUse + 1);
        rejected++;
        return false;
    }

    /** Releases a unit in use. */
    void release() {
        inUse--;
    }

    /** Units that were lately wanted; more than are held where some were rejected. */
    int demand(long now) {
        return demand.units(now);
    }

    /** After how long to retry: at the next token of a rate; for concurrency, after a share of the longest use. */
    long retryAfter(long now) {
        advanceTo(now);
        int units = total();
        if (limit.kind() == SharedLimit.Kind.CONCURRENCY || units == 0) {
            return limit.maxHoldTime() / RETRIES_PER_HOLD_TIME;
        }
        return Math.min(limit.maxHoldTime(), (long) Math.ceil((1 - tokens) * SECOND / units));
    }

    /** How often no unit was free, since the start. */
    long rejected() {
        return rejected;
    }
}
