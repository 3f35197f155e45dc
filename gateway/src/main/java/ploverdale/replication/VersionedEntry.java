package ploverdale.replication;

import java.nio.ByteBuffer;

/**
 * One replicated fact. Joining two copies commutes, is associative and idempotent, so that copies that got the same facts in
 * whatever order, and however often, are equal. Times are Unix times in tenths of a millisecond.
 */
public sealed interface VersionedEntry permits Position, WriteOutcome {
    /** Bytes of the longest fact in a message, its kind included. */
    int MOST = 200;

    /** The moment that the fact is of; it is forgotten a stated time later. */
    long at();

    /** Both copies' facts together; of two kinds under one key, which only chance could bring, this one. */
    VersionedEntry join(VersionedEntry other);

    /** Stands for the whole of it in digests. */
    long hash();

    /** Its kind and content. */
    void write(ByteBuffer to);

    /** Bytes that {@link #write} takes. */
    int length();

    /** Reads what {@link #write} wrote; null where it is of a kind or form that is not known here. */
    static VersionedEntry read(ByteBuffer from) {
        int kind = from.remaining() > 0 ? from.get() : 0;
        return kind == Position.KIND
                ? Position.readContent(from)
                : kind == WriteOutcome.KIND ? WriteOutcome.readContent(from) : null;
    }

    /** Spreads bits, so that sums of such words hardly ever meet by accident. */
    static long mix(long x) {
        x = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        x = (x ^ x >>> 27) * 0x94D049BB133111EBL;
        return x ^ x >>> 31;
    }
}
