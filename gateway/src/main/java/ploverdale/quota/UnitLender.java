package ploverdale.quota;

import ploverdale.membership.PacketQueue;

/**
 * Lends units of the partitions that this gateway holds. A borrower gets at most half of what can be spared of each
 * budget, so that demand moves units without oscillation; a loan is extended as far as this gateway does not lack the
 * units itself.
 *
 * <p>Counts are units by budget, times tenths of a millisecond of a monotonic clock. Not thread-safe, called on the
 * thread of {@link QuotaProtocol}.
 */
final class UnitLender {
    private final QuotaAllocation division;
    private final LeaseHolder leaseHolder;
    private final UnitLedger demand;
    private final int budgets;
    private int lastLoan;

    UnitLender(QuotaAllocation division, LeaseHolder leaseHolder, UnitLedger demand) {
        this.division = division;
        this.leaseHolder = leaseHolder;
        this.demand = demand;
        budgets = division.limits().size();
    }

    /**
     * Lends units of the first partition that has any of those wanted; another request may get those of another one.
     * Sends nothing where there are none.
     *
     * @param wanted units by budget; lowered by what is lent
     */
    void lend(long now, int borrower, long borrowersStart, int request, int[] wanted, PacketQueue out) {
        for (LeasePartition partition : leaseHolder.partitions()) {
            int[] lent = new int[budgets];
            boolean any = false;
            for (int budget = 0; budget < budgets && partition.serves(now); budget++) {
                int free = division.leasedUnits(partition.number, budget) - partition.out(now, budget);
                int spare = Math.min(free, demand.spare(now, budget));
                lent[budget] = Math.max(0, Math.min(wanted[budget], (spare + 1) / 2));
                wanted[budget] -= lent[budget];
                any |= lent[budget] > 0;
            }
            if (any) {
                int loan = ++lastLoan;
                partition.lend(now, borrower, borrowersStart, loan, lent);
                leaseHolder.updateHeldUnits(now);
                out.add(borrower, QuotaMessageCodec.unitGrant(borrowersStart, request, loan, lent));
                return;
            }
        }
    }

    /** Extends a loan; of each budget that this gateway lacks units of, it takes back up to half of those lent. */
    void extend(long now, int borrower, long borrowersStart, int request, int loan, int[] wanted, PacketQueue out) {
        for (LeasePartition partition : leaseHolder.partitions()) {
            LeasePartition.SubLease found =
                    partition.serves(now) ? partition.loan(now, borrower, borrowersStart, loan) : null;
            if (found == null) {
                continue;
            }
            int[] kept = new int[budgets];
            for (int budget = 0; budget < budgets; budget++) {
                int lent = found.parts[budget];
                int missing = Math.max(0, -demand.spare(now, budget));
                int stillWanted = Math.min(lent, Math.max(0, wanted[budget]));
                kept[budget] = Math.max(0, stillWanted - Math.min(missing, (lent + 1) / 2));
            }
            partition.extend(now, found, kept);
            out.add(borrower, QuotaMessageCodec.unitGrant(borrowersStart, request, loan, kept));
        }
    }

    /** A borrower has returned units of a loan: it uses no more than those kept, where the message lists them. */
    void onReturn(long now, int borrower, long borrowersStart, int loan, int[] kept) {
        for (LeasePartition partition : leaseHolder.partitions()) {
            LeasePartition.SubLease found = partition.loan(now, borrower, borrowersStart, loan);
            if (found == null) {
                continue;
            }
            for (int budget = 0; budget < budgets; budget++) {
                if (kept[budget] >= 0) {
                    partition.back(found, budget, kept[budget]);
                }
            }
        }
    }
}
