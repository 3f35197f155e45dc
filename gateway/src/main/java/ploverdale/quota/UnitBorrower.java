package ploverdale.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.IntPredicate;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import ploverdale.membership.PacketQueue;
import ploverdale.quota.QuotaMessage.UnitGrant;
import ploverdale.quota.QuotaMessage.UnitRequest;
import ploverdale.quota.QuotaMessage.UnitReturn;

/**
 * Borrows units from lease holders when this gateway needs more than it holds. A sub-lease is renewed from half of its
 * term on; half of its idle units are returned at a time. A sub-lease is valid from the time when it was requested, so
 * it expires here before it does at the lender ({@link LeaseDurations}).
 *
 * <p>Times are in tenths of a millisecond of a monotonic clock. Not thread-safe: called only on the thread of {@link
 * QuotaProtocol}.
 */
final class UnitBorrower {
    private static final long TICKS_PER_MS = 10;
    /** Interval between requests for new sub-leases while units are missing. */
    private static final long REQUEST_INTERVAL_TICKS = 50 * TICKS_PER_MS;
    /** Number of lenders to which a new sub-lease request is sent in one interval. */
    private static final int MAX_LENDERS_PER_INTERVAL = 2;
    /** How long units of a sub-lease may be idle before some are returned. */
    private static final long MAX_IDLE_TICKS = 1000 * TICKS_PER_MS;
    /** A renewal request is repeated after the term of the sub-lease divided by this number. */
    private static final int RENEWAL_TIMEOUTS_PER_TERM = 8;

    /**
     * A request for units that was not answered yet.
     *
     * @param renewedKey key of the sub-lease to renew; empty where a new one was requested
     */
    private record PendingRequest(int lender, long sentAt, OptionalInt renewedKey) {}

    private final int self;
    private final QuotaAllocation allocation;
    private final LeaseDurations durations;
    private final RandomGenerator random;
    private final UnitLedger ledger;
    private final IntSupplier requestNumbers;
    private final Map<Integer, BorrowedUnits> subLeases = new LinkedHashMap<>(); // by a key assigned here
    private final Map<Integer, PendingRequest> pendingRequests = new LinkedHashMap<>(); // by request number
    /** By lender: when it granted its latest new sub-lease; absent where that sub-lease had no units. */
    private final Map<Integer, Long> lastGrantAt = new HashMap<>();

    private long lastRequestAt;

    /**
     * Creates a borrower without sub-leases.
     *
     * @param self number of this gateway
     * @param random selects lenders
     * @param requestNumbers supplies numbers that are never repeated, for requests and for keys of sub-leases
     */
    UnitBorrower(
            int self,
            QuotaAllocation allocation,
            LeaseDurations durations,
            RandomGenerator random,
            UnitLedger ledger,
            IntSupplier requestNumbers) {
        this.self = self;
        this.allocation = allocation;
        this.durations = durations;
        this.random = random;
        this.ledger = ledger;
        this.requestNumbers = requestNumbers;
    }

    /**
     * Renews sub-leases, returns idle units and requests missing ones, as they are due.
     *
     * @param alive whether this gateway considers another one alive
     * @param out receives the messages to send
     */
    void onTick(long now, IntPredicate alive, PacketQueue out) {
        pendingRequests.values().removeIf(request -> now - request.sentAt > durations.subLease());
        subLeases.values().removeIf(subLease -> subLease.isExpired(now));
        subLeases.forEach((key, subLease) -> {
            returnIdleUnits(now, subLease, out);
            renewIfDue(now, key, subLease, out);
        });
        if (now - lastRequestAt >= REQUEST_INTERVAL_TICKS) {
            lastRequestAt = now;
            requestMissingUnits(now, alive, out);
        }
    }

    private void requestMissingUnits(long now, IntPredicate alive, PacketQueue out) {
        int[] missing = new int[ledger.limitCount()];
        boolean anyMissing = false;
        for (int limit = 0; limit < missing.length; limit++) {
            missing[limit] = ledger.missing(now, limit);
            anyMissing |= missing[limit] > 0;
        }
        if (!anyMissing || recentRequests(now) >= MAX_LENDERS_PER_INTERVAL) {
            return;
        }
        for (int lender : chooseLenders(alive)) {
            int number = requestNumbers.getAsInt();
            pendingRequests.put(number, new PendingRequest(lender, now, OptionalInt.empty()));
            UnitRequest request = new UnitRequest(number, QuotaMessage.NEW_SUB_LEASE, UnitCounts.ofPositive(missing));
            out.add(lender, QuotaMessageCodec.encode(request));
        }
    }

    private long recentRequests(long now) {
        return pendingRequests.values().stream()
                .filter(request -> request.renewedKey.isEmpty() && now - request.sentAt < REQUEST_INTERVAL_TICKS)
                .count();
    }

    /**
     * Returns the lenders from which to request a new sub-lease: the one that granted units most recently, if it is
     * alive, and random other gateways that are alive.
     */
    private List<Integer> chooseLenders(IntPredicate alive) {
        List<Integer> candidates = new ArrayList<>();
        for (int gateway = 0; gateway < allocation.gateways(); gateway++) {
            if (gateway != self && alive.test(gateway)) {
                candidates.add(gateway);
            }
        }
        List<Integer> chosen = new ArrayList<>();
        latestLender(candidates).ifPresent(lender -> {
            chosen.add(lender);
            candidates.remove(lender);
        });
        while (chosen.size() < MAX_LENDERS_PER_INTERVAL && !candidates.isEmpty()) {
            chosen.add(candidates.remove(random.nextInt(candidates.size())));
        }
        return chosen;
    }

    private Optional<Integer> latestLender(List<Integer> gateways) {
        Integer latest = null;
        for (Integer gateway : gateways) {
            Long grantedAt = lastGrantAt.get(gateway);
            if (grantedAt != null && (latest == null || grantedAt > lastGrantAt.get(latest))) {
                latest = gateway;
            }
        }
        return Optional.ofNullable(latest);
    }

    /** Called when a lease holder has granted or renewed a sub-lease. Duplicate and late replies are ignored. */
    void onGrant(long now, int lender, UnitGrant grant) {
        PendingRequest request = pendingRequests.remove(grant.request());
        if (request == null || request.lender != lender || grant.subLease() == QuotaMessage.NEW_SUB_LEASE) {
            return;
        }
        long expiresAt = request.sentAt + durations.subLease();
        if (expiresAt <= now) {
            return;
        }
        int[] units = new int[ledger.limitCount()];
        for (int limit = 0; limit < units.length; limit++) {
            units[limit] = grant.units().get(limit);
        }
        if (request.renewedKey.isEmpty()) {
            addSubLease(now, new BorrowedUnits(lender, grant.subLease(), units, expiresAt, now));
            return;
        }
        BorrowedUnits subLease = subLeases.get(request.renewedKey.getAsInt());
        if (subLease != null && subLease.number() == grant.subLease()) {
            subLease.renew(units, expiresAt);
            updateLedger(now, subLease);
        }
    }

    private void addSubLease(long now, BorrowedUnits subLease) {
        subLeases.put(requestNumbers.getAsInt(), subLease);
        if (subLease.hasUnits()) {
            lastGrantAt.put(subLease.lender(), now);
        } else {
            lastGrantAt.remove(subLease.lender());
        }
        updateLedger(now, subLease);
    }

    private void updateLedger(long now, BorrowedUnits subLease) {
        for (int limit = 0; limit < ledger.limitCount(); limit++) {
            ledger.of(limit).setUnits(now, subLease, subLease.units(limit), subLease.expiresAt());
        }
    }

    /**
     * Returns half of the idle units of each limit, where the sub-lease has had idle units for longer than the
     * maximum.
     */
    private void returnIdleUnits(long now, BorrowedUnits subLease, PacketQueue out) {
        boolean returnable = subLease.isIdleLongerThan(now, MAX_IDLE_TICKS);
        int[] kept = subLease.allUnits();
        boolean anyIdle = false;
        boolean anyReturned = false;
        for (int limit = 0; limit < kept.length; limit++) {
            int idle = Math.min(kept[limit], ledger.spare(now, limit));
            anyIdle |= idle > 0;
            if (idle > 0 && returnable) {
                kept[limit] -= (idle + 1) / 2;
                anyReturned = true;
            }
        }
        if (!anyIdle || anyReturned) {
            subLease.restartIdleTime(now);
        }
        if (anyReturned) {
            returnUnits(now, subLease, kept, out);
        }
    }

    private void returnUnits(long now, BorrowedUnits subLease, int[] kept, PacketQueue out) {
        for (int limit = 0; limit < kept.length; limit++) {
            subLease.reduceTo(limit, kept[limit]);
        }
        updateLedger(now, subLease); // before the message is queued: returned units must not be acquired here any more
        UnitReturn message = new UnitReturn(subLease.number(), UnitCounts.ofAllLimits(kept));
        out.add(subLease.lender(), QuotaMessageCodec.encode(message));
    }

    /** Requests a renewal from half of the term on, and again where a request was not answered in time. */
    private void renewIfDue(long now, int key, BorrowedUnits subLease, PacketQueue out) {
        OptionalInt pending = subLease.pendingRenewal();
        if (pending.isPresent() && isOverdue(now, pending.getAsInt())) {
            subLease.abandonRenewal();
        }
        boolean due = subLease.expiresAt() - now < durations.subLease() / 2;
        if (pending.isPresent() || !due || !subLease.hasUnits()) {
            return;
        }
        int number = requestNumbers.getAsInt();
        subLease.startRenewal(number);
        pendingRequests.put(number, new PendingRequest(subLease.lender(), now, OptionalInt.of(key)));
        UnitRequest request = new UnitRequest(number, subLease.number(), UnitCounts.ofPositive(subLease.allUnits()));
        out.add(subLease.lender(), QuotaMessageCodec.encode(request));
    }

    private boolean isOverdue(long now, int request) {
        PendingRequest pending = pendingRequests.get(request);
        return pending == null || now - pending.sentAt > durations.subLease() / RENEWAL_TIMEOUTS_PER_TERM;
    }

    /** Returns the units of a limit in sub-leases that have not expired. */
    int borrowedUnits(long now, int limit) {
        return subLeases.values().stream()
                .filter(subLease -> !subLease.isExpired(now))
                .mapToInt(subLease -> subLease.units(limit))
                .sum();
    }
}
