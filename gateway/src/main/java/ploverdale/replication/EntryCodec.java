package ploverdale.replication;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;

/**
 * Encodes and decodes {@link VersionedEntry} in messages between gateways: one byte for the type, then the value.
 * Numbers are big-endian; only the low 48 bits of an incarnation are sent. Stateless.
 *
 * <p>Position: timestamp (8 bytes), server (2). Write outcome: timestamp (8), number of claims (1), for each claim
 * its gateway (2), incarnation (6), number (4) and state (1), then the length of the response (1) and the response.
 */
final class EntryCodec {
    /** Upper bound on the bytes of an encoded entry, including its type. */
    static final int MAX_BYTES = 200;

    static final byte POSITION_TYPE = 1;
    static final byte WRITE_OUTCOME_TYPE = 2;

    private static final int TYPE_BYTES = Byte.BYTES;
    private static final int POSITION_VALUE_BYTES = Long.BYTES + Short.BYTES;
    private static final int OUTCOME_HEADER_BYTES = Long.BYTES + Byte.BYTES;
    private static final int CLAIM_BYTES = Short.BYTES + 6 + Integer.BYTES + Byte.BYTES;
    private static final int RESPONSE_LENGTH_BYTES = Byte.BYTES;

    private EntryCodec() {}

    /** Writes the type and value of a position. */
    static void write(Position position, ByteBuffer buffer) {
        buffer.put(POSITION_TYPE).putLong(position.timestamp()).putShort((short) position.server());
    }

    /** Returns the number of bytes of an encoded position. */
    static int encodedLength(Position position) {
        return TYPE_BYTES + POSITION_VALUE_BYTES;
    }

    /** Writes the type and value of a write outcome. */
    static void write(WriteOutcome outcome, ByteBuffer buffer) {
        buffer.put(WRITE_OUTCOME_TYPE).putLong(outcome.timestamp());
        buffer.put((byte) outcome.claims().size());
        outcome.claims().forEach((claim, state) -> writeClaim(claim, state, buffer));
        buffer.put((byte) outcome.response().length).put(outcome.response());
    }

    private static void writeClaim(ClaimId claim, ClaimState state, ByteBuffer buffer) {
        buffer.putShort((short) claim.gateway())
                .putShort((short) (claim.incarnation() >>> Integer.SIZE))
                .putInt((int) claim.incarnation())
                .putInt(claim.number())
                .put((byte) state.bits());
    }

    /** Returns the number of bytes of an encoded write outcome. */
    static int encodedLength(WriteOutcome outcome) {
        int claims = CLAIM_BYTES * outcome.claims().size();
        return TYPE_BYTES + OUTCOME_HEADER_BYTES + claims + RESPONSE_LENGTH_BYTES + outcome.response().length;
    }

    /** Reads one entry; null if it is malformed or truncated, or of a type that this version does not know. */
    static VersionedEntry read(ByteBuffer buffer) {
        if (!buffer.hasRemaining()) {
            return null;
        }
        return switch (buffer.get()) {
            case POSITION_TYPE -> readPosition(buffer);
            case WRITE_OUTCOME_TYPE -> readWriteOutcome(buffer);
            default -> null;
        };
    }

    private static Position readPosition(ByteBuffer buffer) {
        if (buffer.remaining() < POSITION_VALUE_BYTES) {
            return null;
        }
        long timestamp = buffer.getLong();
        return new Position(timestamp, Short.toUnsignedInt(buffer.getShort()));
    }

    private static WriteOutcome readWriteOutcome(ByteBuffer buffer) {
        if (buffer.remaining() < OUTCOME_HEADER_BYTES) {
            return null;
        }
        long timestamp = buffer.getLong();
        int count = buffer.get();
        boolean countIsValid = count >= 0 && count <= WriteOutcome.MAX_CLAIMS;
        if (!countIsValid || buffer.remaining() < count * CLAIM_BYTES + RESPONSE_LENGTH_BYTES) {
            return null;
        }
        Map<ClaimId, ClaimState> claims = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            ClaimId claim = readClaim(buffer);
            claims.put(claim, new ClaimState(buffer.get()));
        }
        int length = buffer.get();
        if (length < 0 || length > WriteOutcome.MAX_RESPONSE_BYTES || length > buffer.remaining()) {
            return null;
        }
        byte[] response = new byte[length];
        buffer.get(response);
        return new WriteOutcome(timestamp, claims, response);
    }

    private static ClaimId readClaim(ByteBuffer buffer) {
        int gateway = Short.toUnsignedInt(buffer.getShort());
        long highBits = Short.toUnsignedLong(buffer.getShort()) << Integer.SIZE;
        long incarnation = highBits | Integer.toUnsignedLong(buffer.getInt());
        return new ClaimId(gateway, incarnation, buffer.getInt());
    }
}
