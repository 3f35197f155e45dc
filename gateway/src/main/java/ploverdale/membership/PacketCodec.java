package ploverdale.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import ploverdale.membership.Packet.Part;

/**
 * The bytes of a {@link Packet}, big-endian:
 *
 * <pre>
 * magic (1), version (1), incarnation of the sender (6), allocation id (4),
 * parts, each: kind (1), length of the content (1), content,
 * CRC-32C of all before it (4)
 * </pre>
 *
 * <p>Any version from {@value #VERSION} on is read, and a part of unknown kind is passed over by its length, so versions can
 * run side by side. The magic byte differs from that of gossip datagrams, which share the socket.
 */
public final class PacketCodec {
    /** Largest packet, in bytes; far below any path's MTU, so no packet is fragmented. */
    public static final int MAX_BYTES = 256;

    static final int PART_HEADER_BYTES = 2;

    private static final byte MAGIC = (byte) 0xB2;
    private static final int VERSION = 1;
    private static final int VERSION_OFFSET = 1;
    private static final int INCARNATION_OFFSET = 2;
    private static final int HEADER_BYTES = 12;
    private static final int CHECKSUM_BYTES = 4;

    /** Bytes that the parts of a packet may take together. */
    static final int MAX_PARTS_BYTES = MAX_BYTES - HEADER_BYTES - CHECKSUM_BYTES;

    private PacketCodec() {}

    /** Whether a datagram is meant to be a packet; {@link #decode} finds out whether it is intact. */
    public static boolean hasMagic(byte[] bytes) {
        return bytes.length > 0 && bytes[0] == MAGIC;
    }

    /**
     * The bytes of a packet.
     *
     * @throws IllegalStateException if it is longer than {@link #MAX_BYTES}
     */
    public static byte[] encode(Packet packet) {
        int partsBytes = packet.parts().stream().mapToInt(Part::encodedLength).sum();
        int length = HEADER_BYTES + partsBytes + CHECKSUM_BYTES;
        if (length > MAX_BYTES) {
            throw new IllegalStateException("a packet of " + length + " bytes");
        }
        ByteBuffer buffer = ByteBuffer.allocate(length);
        buffer.put(MAGIC).put((byte) VERSION);
        putIncarnation(buffer, packet.incarnation());
        buffer.putInt(packet.allocationId());
        for (Part part : packet.parts()) {
            buffer.put((byte) part.kind()).put((byte) part.content().length).put(part.content());
        }
        return buffer.putInt(checksum(buffer.array())).array();
    }

    /** The packet in a datagram; null where it is none, damaged, or truncated. */
    public static Packet decode(byte[] bytes) {
        if (!isIntact(bytes)) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes, 0, bytes.length - CHECKSUM_BYTES);
        buffer.position(INCARNATION_OFFSET);
        long incarnation = getIncarnation(buffer);
        int allocationId = buffer.getInt();
        List<Part> parts = decodeParts(buffer);
        return parts == null ? null : new Packet(incarnation, allocationId, parts);
    }

    private static boolean isIntact(byte[] bytes) {
        return bytes.length >= HEADER_BYTES + CHECKSUM_BYTES
                && bytes.length <= MAX_BYTES
                && bytes[0] == MAGIC
                && bytes[VERSION_OFFSET] >= VERSION
                && ByteBuffer.wrap(bytes).getInt(bytes.length - CHECKSUM_BYTES) == checksum(bytes);
    }

    /** Null where a part claims more bytes than are left. */
    private static List<Part> decodeParts(ByteBuffer buffer) {
        List<Part> parts = new ArrayList<>();
        while (buffer.hasRemaining()) {
            int kind = Byte.toUnsignedInt(buffer.get());
            if (!buffer.hasRemaining()) {
                return null;
            }
            int length = Byte.toUnsignedInt(buffer.get());
            if (length > buffer.remaining()) {
                return null;
            }
            byte[] content = new byte[length];
            buffer.get(content);
            parts.add(new Part(kind, content));
        }
        return parts;
    }

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, bytes.length - CHECKSUM_BYTES);
        return (int) crc.getValue();
    }

    /** Writes the low 48 bits. */
    static void putIncarnation(ByteBuffer buffer, long incarnation) {
        buffer.putShort((short) (incarnation >>> Integer.SIZE)).putInt((int) incarnation);
    }

    /** Reads what {@link #putIncarnation} has written. */
    static long getIncarnation(ByteBuffer buffer) {
        long high = Short.toUnsignedLong(buffer.getShort());
        return high << Integer.SIZE | Integer.toUnsignedLong(buffer.getInt());
    }
}
