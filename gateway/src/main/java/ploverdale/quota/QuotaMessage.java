package ploverdale.quota;

/**
 * A message between gateways with the same allocation, encoded by {@link QuotaMessageCodec}. Messages may be lost,
 * duplicated, delayed or reordered. Each reply carries the number of its request and the epoch of the requester, so
 * that the requester can ignore late replies and replies to an earlier process.
 */
sealed interface QuotaMessage {
    /** Requests a new sub-lease in a {@link UnitRequest}; existing sub-leases are numbered from 1. */
    int NEW_SUB_LEASE = 0;

    /** Calls the method of the handler for this kind of message. */
    void dispatchTo(QuotaMessageHandler handler, MessageContext context);

    /**
     * Requests that an acceptor grant or renew the lease of a partition.
     *
     * @param partition number of the gateway that the partition belongs to
     * @param round number of the request round; the same in the requests to all acceptors
     */
    record LeaseRequest(int partition, int round) implements QuotaMessage {
        @Override
        public void dispatchTo(QuotaMessageHandler handler, MessageContext context) {
            handler.onLeaseRequest(context, this);
        }
    }

    /**
     * Notifies the requester that an acceptor has granted or renewed the lease of a partition. There is no reply to a
     * request that is refused.
     *
     * @param partition as in the request
     * @param round as in the request
     * @param holderEpoch epoch of the requester
     */
    record LeaseGrant(int partition, int round, long holderEpoch) implements QuotaMessage {
        @Override
        public void dispatchTo(QuotaMessageHandler handler, MessageContext context) {
            handler.onLeaseGrant(context, this);
        }
    }

    /**
     * Requests that a lease holder grant or renew a sub-lease.
     *
     * @param request number of the request, which the reply repeats
     * @param subLease number of the sub-lease to renew, or {@link #NEW_SUB_LEASE}
     * @param units units wanted by limit
     */
    record UnitRequest(int request, int subLease, UnitCounts units) implements QuotaMessage {
        boolean isRenewal() {
            return subLease != NEW_SUB_LEASE;
        }

        @Override
        public void dispatchTo(QuotaMessageHandler handler, MessageContext context) {
            handler.onUnitRequest(context, this);
        }
    }

    /**
     * Notifies the borrower that a lease holder has granted or renewed a sub-lease.
     *
     * @param borrowerEpoch epoch of the requester
     * @param request as in the request
     * @param subLease number of the sub-lease at the lender
     * @param units all units of the sub-lease from now on; limits that are not listed have none
     */
    record UnitGrant(long borrowerEpoch, int request, int subLease, UnitCounts units) implements QuotaMessage {
        @Override
        public void dispatchTo(QuotaMessageHandler handler, MessageContext context) {
            handler.onUnitGrant(context, this);
        }
    }

    /**
     * Notifies a lease holder that the borrower has stopped using some units of a sub-lease before it expires.
     *
     * @param subLease number of the sub-lease at the lender
     * @param keptUnits units that the borrower keeps, by limit; limits that are not listed keep all of theirs
     */
    record UnitReturn(int subLease, UnitCounts keptUnits) implements QuotaMessage {
        @Override
        public void dispatchTo(QuotaMessageHandler handler, MessageContext context) {
            handler.onUnitReturn(context, this);
        }
    }
}
