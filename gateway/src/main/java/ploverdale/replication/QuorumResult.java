package ploverdale.replication;

/**
 * The result of an operation on the replicas of a key. Immutable; the array is not copied.
 *
 * @param ticket as returned when the operation began
 * @param position that the session's reads must reach, a Unix time in tenths of a millisecond; valid only with the
 *     status POSITION_KNOWN
 * @param server that executed the session's last write, or -1 if unknown
 * @param claim that was granted or refused; null for other operations
 * @param response of the write, in its replicated encoding; empty if unknown
 */
public record QuorumResult(long ticket, Status status, long position, int server, ClaimId claim, byte[] response) {
    /** How an operation completed. */
    public enum Status {
        /** Of a read: the session's reads must reach {@link QuorumResult#position}. */
        POSITION_KNOWN,
        /** No majority of replicas answered in time, or too many operations were pending. */
        UNKNOWN,
        /** Of a write: a majority of replicas has stored the entry. */
        REPLICATED,
        /** Of a claim: it was granted, so this gateway may execute the write. */
        GRANTED,
        /** Of a claim: the write was already executed; its response may be known. */
        ALREADY_EXECUTED,
        /** Of a claim: the write may have been executed, or may still be, under another claim. */
        IN_DOUBT
    }
}
