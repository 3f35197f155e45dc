package ploverdale.quota;

import java.util.Arrays;
import java.util.Optional;
import ploverdale.quota.QuotaMessage.UnitGrant;
import ploverdale.quota.QuotaMessage.UnitRequest;
import ploverdale.quota.QuotaMessage.UnitReturn;

/**
 * Sub-leases units of the partitions that this gateway holds. A borrower gets at most half of the spare units of each
 * limit, so that units follow the demand without oscillation. A sub-lease is renewed, but with fewer units of the
 * limits of which this gateway lacks some itself.
 *
 * <p>Times are in tenths of a millisecond of a monotonic clock. Not thread-safe: called only on the thread of {@link
 * QuotaProtocol}.
 */
final class UnitLender {
    private final LeaseHolder leaseHolder;
    private final UnitLedger ledger;
    private int lastSubLeaseNumber = QuotaMessage.NEW_SUB_LEASE;

    UnitLender(LeaseHolder leaseHolder, UnitLedger ledger) {
        this.leaseHolder = leaseHolder;
        this.ledger = ledger;
    }

    /**
     * Grants or renews a sub-lease. Sends no reply where there are no units to grant, or no such sub-lease to renew.
     */
    void onRequest(MessageContext context, UnitRequest request) {
        if (request.isRenewal()) {
            renew(context, request);
        } else {
            grant(context, request);
        }
    }

    /**
     * Grants units of the first partition that has some of the requested ones; a later request may get units of
     * another.
     */
    private void grant(MessageContext context, UnitRequest request) {
        for (LeasePartition partition : leaseHolder.partitions()) {
            int[] granted = grantableUnits(context.now(), partition, request.units());
            if (Arrays.stream(granted).anyMatch(units -> units > 0)) {
                lastSubLeaseNumber++;
                partition.grantSubLease(context.now(), context.sender(), lastSubLeaseNumber, granted);
                leaseHolder.updateLedger(context.now());
                reply(context, request, lastSubLeaseNumber, granted);
                return;
            }
        }
    }

    private int[] grantableUnits(long now, LeasePartition partition, UnitCounts requested) {
        int[] granted = new int[ledger.limitCount()];
        if (!partition.isServing(now)) {
            return granted;
        }
        for (int limit = 0; limit < granted.length; limit++) {
            int spare = Math.min(leaseHolder.freeUnits(now, partition, limit), ledger.spare(now, limit));
            granted[limit] = Math.max(0, Math.min(requested.get(limit), (spare + 1) / 2));
        }
        return granted;
    }

    private void renew(MessageContext context, UnitRequest request) {
        long now = context.now();
        for (LeasePartition partition : leaseHolder.partitions()) {
            if (!partition.isServing(now)) {
                continue;
            }
            Optional<SubLease> subLease = partition.findSubLease(now, context.sender(), request.subLease());
            if (subLease.isPresent()) {
                int[] kept = keptUnits(now, subLease.get(), request.units());
                partition.renewSubLease(now, subLease.get(), kept);
                reply(context, request, request.subLease(), kept);
            }
        }
    }

    /**
     * Returns the units that the borrower keeps, by limit: those that it requests, less up to half of those lent where
     * this gateway lacks units of the limit itself.
     */
    private int[] keptUnits(long now, SubLease subLease, UnitCounts requested) {
        int[] kept = new int[ledger.limitCount()];
        for (int limit = 0; limit < kept.length; limit++) {
            int lent = subLease.units(limit);
            int missing = Math.max(0, -ledger.spare(now, limit));
            int wanted = Math.min(lent, requested.get(limit));
            kept[limit] = Math.max(0, wanted - Math.min(missing, (lent + 1) / 2));
        }
        return kept;
    }

    private static void reply(MessageContext context, UnitRequest request, int subLease, int[] units) {
        UnitGrant grant =
                new UnitGrant(context.sender().epoch(), request.request(), subLease, UnitCounts.ofPositive(units));
        context.reply(QuotaMessageCodec.encode(grant));
    }

    /**
     * Called when a borrower has returned units: it uses no more than the kept units of the limits listed in the
     * message. Duplicate messages have no effect.
     */
    void onReturn(MessageContext context, UnitReturn message) {
        for (LeasePartition partition : leaseHolder.partitions()) {
            partition
                    .findSubLease(context.now(), context.sender(), message.subLease())
                    .ifPresent(subLease -> message.keptUnits().byLimit().forEach((limit, kept) -> {
                        if (limit < ledger.limitCount()) {
                            subLease.reduceTo(limit, kept);
                        }
                    }));
        }
    }
}
