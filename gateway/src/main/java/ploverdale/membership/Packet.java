package ploverdale.membership;

import java.util.List;

/**
 * One datagram between gateways. It carries parts of several protocols: those of {@link MembershipMessage}, and those of
 * the packages that build on membership, which own other kinds. {@link PacketCodec} gives it its bytes.
 *
 * @param incarnation of the sender; a later start of the process has a higher one
 * @param allocationId by which gateways with unlike quota allocations find out that they disagree, see {@code
 *     ploverdale.quota}
 * @param parts in the order in which they are handled
 */
public record Packet(long incarnation, int allocationId, List<Part> parts) {
    /**
     * One message of one protocol.
     *
     * @param kind from 0 to 255; decides which protocol reads the content
     * @param content at most 255 bytes; not copied, and not to be changed
     */
    public record Part(int kind, byte[] content) {
        /** Bytes that the part takes in a packet, with its header. */
        int encodedLength() {
            return PacketCodec.PART_HEADER_BYTES + content.length;
        }
    }
}
