package ploverdale.gossip;

import java.nio.ByteBuffer;
import ploverdale.gossip.Datagram.Kind;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;

/**
 * Encodes and decodes an entry of a datagram that holds positions. Sizes in bytes:
 *
 * <pre>
 * short hash of the server (2), primary flag (highest bit) and age of the position (15 bits, ms) (2)
 * </pre>
 *
 * <p>The time of the observation is not encoded. The receiver assumes the earliest time that the kind of the datagram
 * allows, so that no position appears to be observed later than it was.
 */
final class PositionCodec {
    static final int ENTRY_BYTES = 4;

    private static final long TICKS_PER_MS = 10;
    private static final int PRIMARY_BIT = 0x8000;
    private static final int AGE_MASK = 0x7FFF;
    private static final int UNKNOWN_AGE = AGE_MASK; // also stands for ages that do not fit the field

    private PositionCodec() {}

    /** Appends an entry to the buffer. */
    static void encode(ByteBuffer buffer, int shortHash, ServerObservation observation, long sentAt) {
        int primaryBit = observation.role() == Role.PRIMARY ? PRIMARY_BIT : 0;
        buffer.putShort((short) shortHash).putShort((short) (age(observation.position(), sentAt) | primaryBit));
    }

    private static int age(long position, long sentAt) {
        if (position == LoadReport.UNKNOWN_TIME) {
            return UNKNOWN_AGE;
        }
        long ageMs = Math.floorDiv(sentAt, TICKS_PER_MS) - Math.floorDiv(position, TICKS_PER_MS);
        return (int) Math.max(0, Math.min(ageMs, UNKNOWN_AGE));
    }

    /** Reads the short hash at the start of an entry. */
    static int decodeHash(ByteBuffer entry) {
        return Short.toUnsignedInt(entry.getShort());
    }

    /** Reads the field after the hash. */
    static ServerObservation decode(ByteBuffer entry, Kind kind, long sentAt) {
        int field = Short.toUnsignedInt(entry.getShort());
        Role role = (field & PRIMARY_BIT) != 0 ? Role.PRIMARY : Role.REPLICA;
        int ageMs = field & AGE_MASK;
        long earliest = sentAt - maxObservationAge(kind);
        if (ageMs == UNKNOWN_AGE) {
            return ServerObservation.ofPosition(role, LoadReport.UNKNOWN_TIME, earliest);
        }
        long position = sentAt - ageMs * TICKS_PER_MS;
        // A position cannot be observed before its time.
        return ServerObservation.ofPosition(role, position, Math.max(earliest, position));
    }

    private static long maxObservationAge(Kind kind) {
        return kind == Kind.POSITION_REPORT ? PositionExchange.REPORT_MAX_AGE : PositionExchange.BROADCAST_MAX_AGE;
    }
}
