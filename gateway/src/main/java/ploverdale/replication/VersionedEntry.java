package ploverdale.replication;

import java.nio.ByteBuffer;

/**
 * A replicated value. {@link #merge} is commutative, associative and idempotent (a join semilattice, as in a
 * state-based CRDT). Replicas that have received the same entries, in any order and any number of times, are
 * therefore equal. Immutable. Times are Unix times in tenths of a millisecond.
 */
sealed interface VersionedEntry permits Position, WriteOutcome {
    /**
     * Returns the time of the write that the value belongs to. The value is retained for a configured time from then
     * on.
     */
    long timestamp();

    /**
     * Returns the least entry that includes both. Returns this entry if the two have different types, which only a
     * collision of hashed keys can cause.
     */
    VersionedEntry merge(VersionedEntry other);

    /** Returns a hash of the whole value for digests; equal entries have equal hashes. */
    long hash();

    /** Returns how long the value is retained after its timestamp, in tenths of a millisecond. */
    long retention(ReplicationSettings settings);

    /** Whether a replica that holds this entry may grant a claim to execute the write with its key. */
    boolean permitsClaim(ClaimId claim);

    /** Writes the type and the value, see {@link EntryCodec}. */
    void writeTo(ByteBuffer buffer);

    /** Returns the number of bytes that {@link #writeTo} writes. */
    int encodedLength();

    /** Whether the retention is over at a Unix time. */
    default boolean isExpired(ReplicationSettings settings, long unixTime) {
        return timestamp() + retention(settings) < unixTime;
    }
}
