package ploverdale.gossip;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.CRC32C;
import ploverdale.gossip.Datagram.Kind;

/**
 * The bytes of a {@link Datagram}, big-endian:
 *
 * <pre>
 * magic (1), version (1), kind (1), length of an entry (1), time of sending (6, Unix ms),
 * entries: see {@link ObservationCodec} and {@link PositionCodec}
 * CRC-32C of all before it (4)
 * </pre>
 *
 * <p>All other times are ages relative to the time of sending. Versions can run side by side: an entry of an older version is
 * shorter, and what it lacks is unknown; one of a newer version is longer, and the rest of it is passed over.
 */
public final class DatagramCodec {
    /** Largest datagram, in bytes; far below any path's MTU, so none is fragmented. */
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

    /** Observations that fit a datagram. */
    static final int MAX_OBSERVATIONS = MAX_ENTRIES_BYTES / ObservationCodec.ENTRY_BYTES;
    /** Positions that fit a datagram. */
    static final int MAX_POSITIONS = MAX_ENTRIES_BYTES / PositionCodec.ENTRY_BYTES;

    private static final long MS = 10;
    private static final Kind[] KINDS = Kind.values();

    /** What came of decoding: exactly one of both is null. */
    public record DecodeResult(Datagram datagram, RejectionReason rejection) {
        private static DecodeResult rejected(RejectionReason reason) {
            return new DecodeResult(null, reason);
        }
    }

    private DatagramCodec() {}

    /** Bytes of a datagram with so many observations. */
    static int encodedLength(int observations) {
        return HEADER_BYTES + observations * ObservationCodec.ENTRY_BYTES + CHECKSUM_BYTES;
    }

    /**
     * The bytes of a datagram.
     *
     * @throws IllegalArgumentException if there are more entries than fit
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
        putSentAt(buffer, Math.floorDiv(datagram.sentAt(), MS));
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

    /** The datagram in what has arrived, or the reason why it is not read. Never throws. */
    public static DecodeResult decode(byte[] bytes) {
        RejectionReason reason = findFault(bytes);
        if (reason != null) {
            return DecodeResult.rejected(reason);
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        Kind kind = KINDS[buffer.get(KIND_OFFSET)];
        long sentAt = sentAtMs(buffer) * MS;
        Map<Integer, ServerObservation> observations = decodeEntries(buffer, kind, sentAt);
        return observations == null
                ? DecodeResult.rejected(RejectionReason.MALFORMED)
                : new DecodeResult(new Datagram(kind, sentAt, observations), null);
    }

    /** What is wrong with the frame around the entries; null where it is sound. */
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
        return hasSoundEntryLength(bytes) ? null : RejectionReason.MALFORMED;
    }

    private static boolean hasSoundEntryLength(byte[] bytes) {
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

    /** The entries by hash, those of one hash joined; null where one is malformed. */
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
     * Moves the time of sending, and with it all times in the datagram, since they are ages. What is no sound datagram is
     * returned as it is, for the receiver to reject.
     *
     * @param shift in tenths of a millisecond
     */
    public static byte[] shiftSentAt(byte[] bytes, long shift) {
        if (shift == 0 || decode(bytes).rejection() != null) {
            return bytes;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes.clone());
        putSentAt(buffer, sentAtMs(buffer) + Math.floorDiv(shift, MS));
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
