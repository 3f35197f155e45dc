package ploverdale.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * One datagram between gateways of a fleet, of at most {@value #MOST} bytes. Layout, big-endian: mark, version, incarnation
 * of the sender (6 bytes), division that it goes by (4), parts, checksum of all before it (4). A part: kind (1), length (1),
 * content. A part of a kind that the reader does not know is passed over, so versions can run side by side; so is what is
 * longer than the reader expects. The mark is none of the words' ({@code ploverdale.gossip}), and older versions leave it.
 *
 * @param incarnation which start of the sender this is from; higher is later
 * @param division which division of the budgets the sender goes by, see {@code ploverdale.quota}
 */
public record Packet(long incarnation, int division, List<Part> parts) {
    public static final int MOST = 256;
    private static final byte MARK = (byte) 0xB2;
    private static final int VERSION = 1;
    private static final int HEAD = 12;
    private static final int CHECK = 4;
    private static final int PART_HEAD = 2;
    /** Bytes that the contents and heads of all parts may take together. */
    public static final int ROOM = MOST - HEAD - CHECK;

    /** One part: what it is, and its content, which the one who knows the kind reads. */
    public record Part(int kind, byte[] content) {
        /** Bytes that it takes in a parcel. */
        public int length() {
            return PART_HEAD + content.length;
        }
    }

    /** Whether bytes are a parcel's and not words. */
    public static boolean isOne(byte[] bytes) {
        return bytes.length > 0 && bytes[0] == MARK;
    }

    /** The datagram. */
    public byte[] bytes() {
        ByteBuffer b = ByteBuffer.allocate(
                HEAD + CHECK + parts.stream().mapToInt(Part::length).sum());
        if (b.capacity() > MOST) {
            throw new IllegalStateException("a parcel of " + b.capacity() + " bytes");
        }
        b.put(MARK)
                .put((byte) VERSION)
                .putShort((short) (incarnation >>> 32))
                .putInt((int) incarnation)
                .putInt(division);
        for (Part p : parts) {
            b.put((byte) p.kind).put((byte) p.content.length).put(p.content);
        }
        CRC32C crc = new CRC32C();
        crc.update(b.array(), 0, b.position());
        return b.putInt((int) crc.getValue()).array();
    }

    /** Reads a datagram; null where it is none, spoilt, or cut short. */
    public static Packet read(byte[] bytes) {
        if (bytes.length < HEAD + CHECK || bytes.length > MOST || bytes[0] != MARK || bytes[1] < VERSION) {
            return null;
        }
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, bytes.length - CHECK);
        ByteBuffer b = ByteBuffer.wrap(bytes);
        if (b.getInt(bytes.length - CHECK) != (int) crc.getValue()) {
            return null;
        }
        b.position(2);
        long incarnation = (b.getShort() & 0xFFFFL) << 32 | b.getInt() & 0xFFFFFFFFL;
        int division = b.getInt();
        List<Part> parts = new ArrayList<>();
        int end = bytes.length - CHECK;
        while (b.position() < end) {
            int kind = b.get() & 0xFF;
            int length = b.position() < end ? b.get() & 0xFF : Integer.MAX_VALUE;
            if (length > end - b.position()) {
                return null;
            }
            byte[] content = new byte[length];
            b.get(content);
            parts.add(new Part(kind, content));
        }
        return new Packet(incarnation, division, parts);
    }
}
