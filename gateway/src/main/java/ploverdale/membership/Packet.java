package ploverdale.membership;

import java.util.List;

/**
 * A datagram between gateways. It carries parts of several protocols: the {@link MembershipMessage}s, and the messages
 * of packages that build on membership, which use other kinds. {@link PacketCodec} encodes and decodes it.
 *
 * @param incarnation the incarnation of the sender; higher for a later start of the process
 * @param allocationId identifies the sender's quota allocation, so that gateways with different allocations notice that
 *     they disagree; see {@code ploverdale.quota}
 * @param parts the parts in the order in which they are handled
 */
public record Packet(long incarnation, int allocationId, List<Part> parts) {
    /**
     * An encoded message of one protocol.
     *
     * @param kind the kind of message, from 0 to 255; determines the protocol that decodes the content
     * @param content the encoded message, at most 255 bytes; not copied, must not be modified
     */
    public record Part(int kind, byte[] content) {
        /** Returns the number of bytes of the part in a packet, including its header. */
        int encodedLength() {
            return PacketCodec.PART_HEADER_BYTES + content.length;
        }
    }
}
