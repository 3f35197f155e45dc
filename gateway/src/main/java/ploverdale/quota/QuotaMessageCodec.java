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
 * Encodes {@link QuotaMessage}s as parts of a packet and decodes them. Numbers are big-endian. Messages about units
 * end with a list of pairs, 16 bits each: the index of a limit and a count of units. A part that is longer than
 * expected is accepted, so that later versions can append fields. Stateless.
 */
final class QuotaMessageCodec {
    /**
     * Message kinds with their number in a packet and the minimum length of their content. Comments list fields and
     * their bytes.
     */
    private enum Kind {
        /** Partition (2), round (4). */
        LEASE_REQUEST(16, 6),
        /** Partition (2), round (4), epoch of the holder (8). */
        LEASE_GRANT(17, 14),
        /** Number of the request (4), sub-lease to renew or 0 (4), list of units. */
        UNIT_REQUEST(18, 8),
        /** Epoch of the borrower (8), number of the request (4), sub-lease (4), list of units. */
        UNIT_GRANT(19, 16),
        /** Sub-lease (4), list of the units that are kept. */
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

    /** Limits listed in a message at most, so that it fits into a packet; the remaining limits are omitted. */
    private static final int MAX_LISTED_LIMITS = 40;

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

    /** Decodes a part; returns empty where it is not a quota message or is too short. */
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
