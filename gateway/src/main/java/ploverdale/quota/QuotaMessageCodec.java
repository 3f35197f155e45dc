package ploverdale.quota;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import ploverdale.membership.Packet.Part;
import ploverdale.quota.QuotaMessage.LeaseGrant;
import ploverdale.quota.QuotaMessage.LeaseRequest;
import ploverdale.quota.QuotaMessage.UnitGrant;
import ploverdale.quota.QuotaMessage.UnitRequest;
import ploverdale.quota.QuotaMessage.UnitReturn;

/**
 * Encodes and decodes {@link QuotaMessage}s as parts of a packet. Numbers are big-endian. Messages about units end with a
 * list of pairs: index of a limit, count of units, 16 bits each. What is longer than expected is read, so that later versions
 * can append fields. Stateless.
 */
final class QuotaMessageCodec {
    /** Number of a message kind in a packet, and the bytes that it has at least. */
    private enum Kind {
        /** partition (2), round (4) */
        LEASE_REQUEST(16, 6),
        /** partition (2), round (4), epoch of the holder (8) */
        LEASE_GRANT(17, 14),
        /** request (4), sub-lease or 0 (4), units */
        UNIT_REQUEST(18, 8),
        /** epoch of the borrower (8), request (4), sub-lease (4), units */
        UNIT_GRANT(19, 16),
        /** sub-lease (4), units that are kept */
        UNIT_RETURN(20, 4);

        private final int number;
        private final int minBytes;

        Kind(int number, int minBytes) {
            this.number = number;
            this.minBytes = minBytes;
        }

        private static Optional<Kind> of(Part part) {
            for (Kind kind : values()) {
                if (kind.number == part.kind() && part.content().length >= kind.minBytes) {
                    return Optional.of(kind);
                }
            }
            return Optional.empty();
        }
    }

    private static final int MAX_LISTED_LIMITS = 40; // so that a message fits into a packet; others are left out
    private static final int LISTED_LIMIT_BYTES = 4;

    private QuotaMessageCodec() {}

    static Part encode(LeaseRequest message) {
        ByteBuffer content = ByteBuffer.allocate(Kind.LEASE_REQUEST.minBytes);
        content.putShort((short) message.partition()).putInt(message.round());
        return new Part(Kind.LEASE_REQUEST.number, content.array());
    }

    static Part encode(LeaseGrant message) {
        ByteBuffer content = ByteBuffer.allocate(Kind.LEASE_GRANT.minBytes);
        content.putShort((short) message.partition()).putInt(message.round()).putLong(message.holderEpoch());
        return new Part(Kind.LEASE_GRANT.number, content.array());
    }

    static Part encode(UnitRequest message) {
        ByteBuffer content = allocate(Kind.UNIT_REQUEST, message.units());
        content.putInt(message.request()).putInt(message.subLease());
        return withUnits(Kind.UNIT_REQUEST, content, message.units());
    }

    static Part encode(UnitGrant message) {
        ByteBuffer content = allocate(Kind.UNIT_GRANT, message.units());
        content.putLong(message.borrowerEpoch()).putInt(message.request()).putInt(message.subLease());
        return withUnits(Kind.UNIT_GRANT, content, message.units());
    }

    static Part encode(UnitReturn message) {
        ByteBuffer content = allocate(Kind.UNIT_RETURN, message.keptUnits());
        content.putInt(message.subLease());
        return withUnits(Kind.UNIT_RETURN, content, message.keptUnits());
    }

    private static ByteBuffer allocate(Kind kind, UnitCounts units) {
        int listed = Math.min(units.byLimit().size(), MAX_LISTED_LIMITS);
        return ByteBuffer.allocate(kind.minBytes + LISTED_LIMIT_BYTES * listed);
    }

    private static Part withUnits(Kind kind, ByteBuffer content, UnitCounts units) {
        units.byLimit().entrySet().stream()
                .limit(MAX_LISTED_LIMITS)
                .forEach(entry -> content.putShort(entry.getKey().shortValue())
                        .putShort(entry.getValue().shortValue()));
        return new Part(kind.number, content.array());
    }

    /** The message of a part; empty where the part is of another kind or too short. */
    static Optional<QuotaMessage> decode(Part part) {
        ByteBuffer content = ByteBuffer.wrap(part.content());
        return Kind.of(part).map(kind -> decode(kind, content));
    }

    private static QuotaMessage decode(Kind kind, ByteBuffer content) {
        return switch (kind) {
            case LEASE_REQUEST -> new LeaseRequest(readUnsignedShort(content), content.getInt());
            case LEASE_GRANT -> new LeaseGrant(readUnsignedShort(content), content.getInt(), content.getLong());
            case UNIT_REQUEST -> new UnitRequest(content.getInt(), content.getInt(), readUnits(content));
            case UNIT_GRANT -> new UnitGrant(content.getLong(), content.getInt(), content.getInt(), readUnits(content));
            case UNIT_RETURN -> new UnitReturn(content.getInt(), readUnits(content));
        };
    }

    private static int readUnsignedShort(ByteBuffer content) {
        return Short.toUnsignedInt(content.getShort());
    }

    private static UnitCounts readUnits(ByteBuffer content) {
        Map<Integer, Integer> byLimit = new HashMap<>();
        while (content.remaining() >= LISTED_LIMIT_BYTES) {
            int limit = readUnsignedShort(content);
            int count = readUnsignedShort(content);
            byLimit.put(limit, count);
        }
        return UnitCounts.of(byLimit);
    }
}
