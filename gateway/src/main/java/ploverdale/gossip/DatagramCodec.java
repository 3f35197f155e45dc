package ploverdale.gossip;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.CRC32C;
import ploverdale.gossip.Datagram.Kind;

/**
 * Encodes and decodes a {@link Datagram}. The layout is big-endian, with sizes in bytes:
 *
 * <pre>
 * magic (1), version (1), kind (1), length of an entry (1), sending time (6, Unix ms),
 * entries: see {@link ObservationCodec} and {@link PositionCodec}
 * CRC-32C of all preceding bytes (4)
 * </pre>
 *
 * <p>All other times are encoded as ages relative to the sending time. Gateways of different versions understand each
 * other: the fields that are missing in a shorter entry of an older version are unknown, and the additional fields in a
 * longer entry of a newer version are ignored.
 */
public final class DatagramCodec {
    /** Maximum length of a datagram in bytes; far below the usual path MTU, so that no datagram is fragmented. */
    static final int MAX_BYTES = 256;

    private static final byte MAGIC = (byte) 0xB1;
    private static final int VERSION = 1;
    private static final int VERSION_OFFSET = 1;
    private static final int KIND_OFFSET = 2;
    private static final int ENTRY_LENGTH_OFFSET = 3;
    private static final int SENT_AT_OFFSET = 4;
    private static final int HEADER_BYTES = 10;
    private static final int CHECKSUM_BYTES = 4;
    private static final int MAX_ENTRIES_BYTES = MAX_BYTES - HEADER_BYTES - CHECKSUM_BYTES;

    /** Maximum number of observations in a datagram. */
    static final int MAX_OBSERVATIONS = MAX_ENTRIES_BYTES / ObservationCodec.ENTRY_BYTES;
    /** Maximum number of positions in a datagram. */
    static final int MAX_POSITIONS = MAX_ENTRIES_BYTES / PositionCodec.ENTRY_BYTES;

    private static final long TICKS_PER_MS = 10;
    private static final Kind[] KINDS = Kind.values();

    /**
     * Result of decoding. Exactly one component is null.
     *
     * @param datagram the decoded datagram, or null if the bytes were rejected
     * @param rejection why the bytes were rejected, or null
     */
    public record DecodeResult(Datagram datagram, RejectionReason rejection) {
        private static DecodeResult rejected(RejectionReason reason) {
            return new DecodeResult(null, reason);
        }
    }

    private DatagramCodec() {}

    /** Returns the length in bytes of a datagram with this number of observations. */
    static int encodedLength(int observations) {
        return HEADER_BYTES + observations * ObservationCodec.ENTRY_BYTES + CHECKSUM_BYTES;
    }

    /**
     * Encodes a datagram.
     *
     * @throws IllegalArgumentException if there are more entries than fit into a datagram
     */
    public static byte[] encode(Datagram datagram) {
        boolean positions = datagram.kind().isPositions();
        int count = datagram.observations().size();
        if (count > (positions ? MAX_POSITIONS : MAX_OBSERVATIONS)) {
            throw new IllegalArgumentException(count + " entries");
        }
        int entryBytes = positions ? PositionCodec.ENTRY_BYTES : ObservationCodec.ENTRY_BYTES;
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + count * entryBytes + CHECKSUM_BYTES);
        buffer.put(MAGIC).put((byte) VERSION).put((byte) datagram.kind().ordinal());
        buffer.put((byte) entryBytes);
        putSentAt(buffer, Math.floorDiv(datagram.sentAt(), TICKS_PER_MS));
        buffer.position(HEADER_BYTES);
        datagram.observations().forEach((hash, observation) -> {
            if (positions) {
                PositionCodec.encode(buffer, hash, observation, datagram.sentAt());
            } else {
                ObservationCodec.encode(buffer, hash, observation, datagram.sentAt());
            }
        });
        return putChecksum(buffer);
    }

    /** Decodes received bytes, or returns the reason for which they are rejected. Never throws. */
    public static DecodeResult decode(byte[] bytes) {
        RejectionReason reason = findFault(bytes);
        if (reason != null) {
            return DecodeResult.rejected(reason);
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        Kind kind = KINDS[buffer.get(KIND_OFFSET)];
        long sentAt = sentAtMs(buffer) * TICKS_PER_MS;
        Map<Integer, ServerObservation> observations = decodeEntries(buffer, kind, sentAt);
        return observations == null
                ? DecodeResult.rejected(RejectionReason.MALFORMED)
                : new DecodeResult(new Datagram(kind, sentAt, observations), null);
    }

    /** Checks everything but the content of the entries; returns null if it is valid. */
    private static RejectionReason findFault(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            return RejectionReason.TOO_LONG;
        }
        if (bytes.length < HEADER_BYTES + CHECKSUM_BYTES) {
            return RejectionReason.TOO_SHORT;
        }
        if (bytes[0] != MAGIC) {
            return RejectionReason.WRONG_MAGIC;
        }
        if (checksum(bytes) != ByteBuffer.wrap(bytes).getInt(bytes.length - CHECKSUM_BYTES)) {
            return RejectionReason.WRONG_CHECKSUM;
        }
        if (bytes[VERSION_OFFSET] == 0) {
            return RejectionReason.UNKNOWN_VERSION;
        }
        return hasValidEntryLength(bytes) ? null : RejectionReason.MALFORMED;
    }

    private static boolean hasValidEntryLength(byte[] bytes) {
        int kind = Byte.toUnsignedInt(bytes[KIND_OFFSET]);
        int entryBytes = Byte.toUnsignedInt(bytes[ENTRY_LENGTH_OFFSET]);
        if (kind >= KINDS.length) {
            return false;
        }
        boolean isKnownLength = KINDS[kind].isPositions()
                ? entryBytes == PositionCodec.ENTRY_BYTES
                : entryBytes >= ObservationCodec.MIN_ENTRY_BYTES;
        return isKnownLength && (bytes.length - HEADER_BYTES - CHECKSUM_BYTES) % entryBytes == 0;
    }

    /** Returns the entries by hash, joining those with the same hash; null if an entry is malformed. */
    private static Map<Integer, ServerObservation> decodeEntries(ByteBuffer buffer, Kind kind, long sentAt) {
        int entryBytes = Byte.toUnsignedInt(buffer.get(ENTRY_LENGTH_OFFSET));
        int end = buffer.capacity() - CHECKSUM_BYTES;
        Map<Integer, ServerObservation> observations = new LinkedHashMap<>();
        for (int offset = HEADER_BYTES; offset < end; offset += entryBytes) {
            ByteBuffer entry = buffer.slice(offset, entryBytes);
            int hash = kind.isPositions() ? PositionCodec.decodeHash(entry) : ObservationCodec.decodeHash(entry);
            ServerObservation observation = kind.isPositions()
                    ? PositionCodec.decode(entry, kind, sentAt)
                    : ObservationCodec.decode(entry, sentAt);
            if (observation == null) {
                return null;
            }
            observations.merge(hash, observation, ServerObservation::join);
        }
        return observations;
    }

    /**
     * Shifts the sending time of an encoded datagram, and thereby all times in it, since they are encoded relative to
     * the sending time. Bytes that are not a valid datagram are returned unchanged; the receiver rejects them.
     *
     * @param shift time to add, in tenths of a millisecond
     */
    public static byte[] shiftSentAt(byte[] bytes, long shift) {
        if (shift == 0 || decode(bytes).rejection() != null) {
            return bytes;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes.clone());
        putSentAt(buffer, sentAtMs(buffer) + Math.floorDiv(shift, TICKS_PER_MS));
        buffer.position(bytes.length - CHECKSUM_BYTES);
        return putChecksum(buffer);
    }

    private static long sentAtMs(ByteBuffer buffer) {
        long high = Short.toUnsignedLong(buffer.getShort(SENT_AT_OFFSET));
        return high << Integer.SIZE | Integer.toUnsignedLong(buffer.getInt(SENT_AT_OFFSET + Short.BYTES));
    }

    private static void putSentAt(ByteBuffer buffer, long sentAtMs) {
        buffer.putShort(SENT_AT_OFFSET, (short) (sentAtMs >> Integer.SIZE));
        buffer.putInt(SENT_AT_OFFSET + Short.BYTES, (int) sentAtMs);
    }

    private static byte[] putChecksum(ByteBuffer buffer) {
        return buffer.putInt(checksum(buffer.array())).array();
    }

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, bytes.length - CHECKSUM_BYTES);
        return (int) crc.getValue();
    }
}
