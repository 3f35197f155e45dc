package ploverdale.gossip;

import java.nio.ByteBuffer;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;

/**
 * Encodes and decodes an entry of a datagram that holds observations. Sizes in bytes:
 *
 * <pre>
 * hash of the server (4), role (1, only the lowest two bits are used), age of the role (2),
 * age of the position (3, ms), age of the observation of the position (2), age of the last response (2),
 * time since the server was last found unresponsive (2), time since slow start began (2), time since draining began (2)
 * </pre>
 *
 * <p>The age of the position is in milliseconds, all others in units of 10 ms. Those are rounded up, so that a relayed
 * observation never becomes newer than it was at its source.
 */
final class ObservationCodec {
    static final int ENTRY_BYTES = 20;
    /** Length of an entry of the oldest version, which holds only the hash, the role and the age of the role. */
    static final int MIN_ENTRY_BYTES = 7;

    private static final int ROLE_MASK = 3;
    private static final long TICKS_PER_MS = 10;
    private static final long AGE_UNIT = 10 * TICKS_PER_MS;
    private static final int UNKNOWN_AGE = 0xFFFF;
    private static final int UNKNOWN_POSITION_AGE = 0xFFFFFF;
    private static final int POSITION_AGE_BYTES = 3;

    private ObservationCodec() {}

    /** Appends an entry to the buffer. */
    static void encode(ByteBuffer buffer, int hash, ServerObservation observation, long sentAt) {
        buffer.putInt(hash).put((byte) observation.role().ordinal());
        putAge(buffer, observation.roleAt(), sentAt);
        putPositionAge(buffer, observation.position(), sentAt);
        putAge(buffer, observation.positionAt(), sentAt);
        putAge(buffer, observation.aliveAt(), sentAt);
        putAge(buffer, observation.unresponsiveAt(), sentAt);
        putAge(buffer, observation.slowStartAt(), sentAt);
        putAge(buffer, observation.drainingAt(), sentAt);
    }

    private static void putAge(ByteBuffer buffer, long time, long sentAt) {
        long units = time == LoadReport.UNKNOWN_TIME
                ? UNKNOWN_AGE
                : Math.max(0, Math.floorDiv(sentAt - time + AGE_UNIT - 1, AGE_UNIT));
        buffer.putShort((short) Math.min(units, UNKNOWN_AGE));
    }

    private static void putPositionAge(ByteBuffer buffer, long position, long sentAt) {
        int age = UNKNOWN_POSITION_AGE;
        if (position != LoadReport.UNKNOWN_TIME) {
            long ageMs = Math.floorDiv(sentAt, TICKS_PER_MS) - Math.floorDiv(position, TICKS_PER_MS);
            age = ageMs < 0 || ageMs >= UNKNOWN_POSITION_AGE ? UNKNOWN_POSITION_AGE : (int) ageMs;
        }
        buffer.put((byte) (age >> Short.SIZE)).putShort((short) age);
    }

    /** Reads the hash at the start of an entry. */
    static int decodeHash(ByteBuffer entry) {
        return entry.getInt();
    }

    /**
     * Reads the fields after the hash. Returns null if the role is invalid; fields missing in the entry are unknown.
     */
    static ServerObservation decode(ByteBuffer entry, long sentAt) {
        int role = entry.get() & ROLE_MASK;
        if (role >= Role.values().length) {
            return null;
        }
        long roleAt = getTime(entry, sentAt);
        long position = getPosition(entry, sentAt);
        long positionAt = getTime(entry, sentAt);
        long aliveAt = getTime(entry, sentAt);
        long unresponsiveAt = getTime(entry, sentAt);
        long slowStartAt = getTime(entry, sentAt);
        long drainingAt = getTime(entry, sentAt);
        boolean hasRole = role != Role.UNKNOWN.ordinal() && roleAt != LoadReport.UNKNOWN_TIME;
        boolean hasPosition = position != LoadReport.UNKNOWN_TIME && positionAt != LoadReport.UNKNOWN_TIME;
        return new ServerObservation(
                hasRole ? Role.values()[role] : Role.UNKNOWN,
                hasRole ? roleAt : LoadReport.UNKNOWN_TIME,
                hasPosition ? position : LoadReport.UNKNOWN_TIME,
                hasPosition ? positionAt : LoadReport.UNKNOWN_TIME,
                aliveAt,
                unresponsiveAt,
                slowStartAt,
                drainingAt);
    }

    private static long getTime(ByteBuffer entry, long sentAt) {
        int units = entry.remaining() >= Short.BYTES ? Short.toUnsignedInt(entry.getShort()) : UNKNOWN_AGE;
        return units == UNKNOWN_AGE ? LoadReport.UNKNOWN_TIME : sentAt - units * AGE_UNIT;
    }

    private static long getPosition(ByteBuffer entry, long sentAt) {
        if (entry.remaining() < POSITION_AGE_BYTES) {
            return LoadReport.UNKNOWN_TIME;
        }
        int high = Byte.toUnsignedInt(entry.get());
        int ageMs = high << Short.SIZE | Short.toUnsignedInt(entry.getShort());
        return ageMs == UNKNOWN_POSITION_AGE ? LoadReport.UNKNOWN_TIME : sentAt - ageMs * TICKS_PER_MS;
    }
}
