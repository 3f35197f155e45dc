package ploverdale.replication;

/**
 * The result of an operation on the replicas of a key. Immutable; the array is not copied.
 *
 * @param ticket as returned when the operation began
 * @param position that a session's reads must reach, a Unix time in tenths of a millisecond; of use only where it is known
 * @param server that executed the session's last write, or -1 where none is known
 * @param claim that was granted or refused; null for other operations
 * @param response of the write, in the bytes that it was replicated as; empty where none is known
 */
public record QuorumResult(long ticket, Status status, long position, int server, ClaimId claim, byte[] response) {
    /** How an operation ended. */
    public enum Status {
        /** Of a read: a session's reads must reach the position given. */
        POSITION_KNOWN,
        /** No majority of replicas has answered in time. */
        UNKNOWN,
        /** Of a write: a majority of replicas has the entry. */
        REPLICATED,
        /** Of a claim: it was granted, this gateway may execute the write. */
        GRANTED,
        /** Of a claim: the write was executed before; its response may be known. */
        ALREADY_EXECUTED,
        /** Of a claim: the write may have been executed, or may still be, under another claim. */
        IN_DOUBT
    }
}
