package ploverdale.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import ploverdale.membership.Packet.Part;

/**
 * Encodes and decodes a {@link Packet}. The layout is big-endian, with sizes in bytes:
 *
 * <pre>
 * magic (1), version (1), incarnation of the sender (6), allocation id (4),
 * parts, each: kind (1), length of the content (1), content,
 * CRC-32C of all preceding bytes (4)
 * </pre>
 *
 * <p>Packets of version {@value #VERSION} and later are decoded, and parts of unknown kinds are skipped, so gateways of
 * different versions can run side by side. The magic byte differs from that of gossip datagrams, which use the same
 * socket.
 */
public final class PacketCodec {
    /** Maximum length of a packet in bytes; far below the usual path MTU, so that no packet is fragmented. */
    public static final int MAX_BYTES = 256;

    static final int PART_HEADER_BYTES = 2;

    private static final byte MAGIC = (byte) 0xB2;
    private static final int VERSION = 1;
    private static final int VERSION_OFFSET = 1;
    private static final int INCARNATION_OFFSET = 2;
    private static final int HEADER_BYTES = 12;
    private static final int CHECKSUM_BYTES = 4;

    /** Maximum total length of the parts of a packet in bytes. */
    static final int MAX_PARTS_BYTES = MAX_BYTES - HEADER_BYTES - CHECKSUM_BYTES;

    private PacketCodec() {}

    /** Returns whether a datagram starts with the magic byte of packets. {@link #decode} checks the rest. */
    public static boolean hasMagic(byte[] bytes) {
        return bytes.length > 0 && bytes[0] == MAGIC;
    }

    /**
     * Encodes a packet.
     *
     * @throws IllegalStateException if the packet would be longer than {@link #MAX_BYTES}
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

    /** Decodes a datagram; returns null if it is not a packet, or is corrupt or truncated. */
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

    /** Returns the parts; null if the length of a part exceeds the remaining bytes. */
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

    /** Writes the low 48 bits of an incarnation. */
    static void putIncarnation(ByteBuffer buffer, long incarnation) {
        buffer.putShort((short) (incarnation >>> Integer.SIZE)).putInt((int) incarnation);
    }

    /** Reads an incarnation that {@link #putIncarnation} wrote. */
    static long getIncarnation(ByteBuffer buffer) {
        long high = Short.toUnsignedLong(buffer.getShort());
        return high << Integer.SIZE | Integer.toUnsignedLong(buffer.getInt());
    }
}
