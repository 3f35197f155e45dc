package ploverdale.quota;

/**
 * A message between gateways with the same allocation. {@link QuotaMessageCodec} encodes it. Messages may be lost,
 * duplicated, delayed or reordered; each answer carries the number of its request and the epoch of the requester.
 */
sealed interface QuotaMessage {
    /** In a {@link UnitRequest}: units are requested as a new sub-lease. Sub-leases are numbered from 1. */
    int NEW_SUB_LEASE = 0;

    /** Calls the handler's method for this kind of message. */
    void dispatchTo(QuotaMessageHandler handler, MessageContext context);

    /**
     * Asks an acceptor to grant or renew the lease of a partition.
     *
     * @param round number of the attempt, which all acceptors are asked with
     */
    record LeaseRequest(int partition, int round) implements QuotaMessage {
        @Override
        public void dispatchTo(QuotaMessageHandler handler, MessageContext context) {
            handler.onLeaseRequest(context, this);
        }
    }

    /**
     * An acceptor grants the lease of a partition. There is no message for a refusal.
     *
     * @param holderEpoch epoch of the gateway that asked
     */
    record LeaseGrant(int partition, int round, long holderEpoch) implements QuotaMessage {
        @Override
        public void dispatchTo(QuotaMessageHandler handler, MessageContext context) {
            handler.onLeaseGrant(context, this);
        }
    }

    /**
     * Asks a lease holder for a sub-lease, or to renew one.
     *
     * @param request number of the request
     * @param subLease number of the sub-lease to renew, or {@link #NEW_SUB_LEASE}
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
     * A lease holder grants or renews a sub-lease.
     *
     * @param borrowerEpoch epoch of the gateway that asked
     * @param units all that the sub-lease consists of from now on
     */
    record UnitGrant(long borrowerEpoch, int request, int subLease, UnitCounts units) implements QuotaMessage {
        @Override
        public void dispatchTo(QuotaMessageHandler handler, MessageContext context) {
            handler.onUnitGrant(context, this);
        }
    }

    /**
     * A borrower releases units of a sub-lease before it expires.
     *
     * @param keptUnits what the borrower keeps of the limits that are listed
     */
    record UnitReturn(int subLease, UnitCounts keptUnits) implements QuotaMessage {
        @Override
        public void dispatchTo(QuotaMessageHandler handler, MessageContext context) {
            handler.onUnitReturn(context, this);
        }
    }
}
