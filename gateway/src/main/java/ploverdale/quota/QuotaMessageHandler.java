package ploverdale.quota;

/**
 * Handles the messages of the quota protocol, one method for each kind. Called on the thread of {@link QuotaProtocol}.
 */
interface QuotaMessageHandler {
    /** Called at an acceptor when a gateway requests the lease of a partition. */
    void onLeaseRequest(MessageContext context, QuotaMessage.LeaseRequest message);

    /** Called at the requester when an acceptor has granted the lease of a partition. */
    void onLeaseGrant(MessageContext context, QuotaMessage.LeaseGrant message);

    /** Called at a lease holder when a gateway requests units or the renewal of a sub-lease. */
    void onUnitRequest(MessageContext context, QuotaMessage.UnitRequest message);

    /** Called at the borrower when a lease holder has granted or renewed a sub-lease. */
    void onUnitGrant(MessageContext context, QuotaMessage.UnitGrant message);

    /** Called at a lease holder when a borrower has returned units. */
    void onUnitReturn(MessageContext context, QuotaMessage.UnitReturn message);
}
