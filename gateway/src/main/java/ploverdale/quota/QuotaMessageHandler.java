package ploverdale.quota;

/** Handles each kind of {@link QuotaMessage}; called on the thread of {@link QuotaProtocol}. */
interface QuotaMessageHandler {
    /** Another gateway asks this acceptor for the lease of a partition. */
    void onLeaseRequest(MessageContext context, QuotaMessage.LeaseRequest message);

    /** An acceptor has granted this gateway the lease of a partition. */
    void onLeaseGrant(MessageContext context, QuotaMessage.LeaseGrant message);

    /** A borrower asks this lease holder for units. */
    void onUnitRequest(MessageContext context, QuotaMessage.UnitRequest message);

    /** A lease holder has granted this borrower a sub-lease. */
    void onUnitGrant(MessageContext context, QuotaMessage.UnitGrant message);

    /** A borrower has returned units to this lease holder. */
    void onUnitReturn(MessageContext context, QuotaMessage.UnitReturn message);
}
