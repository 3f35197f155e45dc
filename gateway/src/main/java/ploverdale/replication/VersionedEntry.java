package ploverdale.replication;

import java.nio.ByteBuffer;

/**
 * One replicated value. {@link #merge} is commutative, associative and idempotent (a join semilattice, as in a state-based
 * CRDT), so replicas that received the same entries, in any order and any number of times, are equal. Immutable. Times are
 * Unix times in tenths of a millisecond.
 */
sealed interface VersionedEntry permits Position, WriteOutcome {
    /** When the value came to be; it is retained for a configured time from then on. */
    long timestamp();

    /**
     * The least entry that includes both. Of two entries of different types, which only a collision of hashes could bring
     * under one key, this one.
     */
    VersionedEntry merge(VersionedEntry other);

    /** Identifies the whole value in digests; equal entries have equal hashes. */
    long hash();

    /** For how long such a value is retained after its timestamp, in tenths of a millisecond. */
    long retention(ReplicationSettings settings);

    /** Whether a replica with this entry may grant a claim to execute the write of its key. */
    boolean permitsClaim(ClaimId claim);

    /** Writes the type and the value, see {@link EntryCodec}. */
    void writeTo(ByteBuffer buffer);

    /** Bytes that {@link #writeTo} writes. */
    int encodedLength();

    /** Whether its retention is over at a time. */
    default boolean isExpired(ReplicationSettings settings, long unixTime) {
        return timestamp() + retention(settings) < unixTime;
    }
}
