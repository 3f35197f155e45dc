package ploverdale.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import ploverdale.membership.MembershipMessage.Ack;
import ploverdale.membership.MembershipMessage.Ping;
import ploverdale.membership.MembershipMessage.PingRequest;
import ploverdale.membership.MembershipMessage.Updates;
import ploverdale.membership.Packet.Part;

/**
 * Encodes and decodes each {@link MembershipMessage}. The layout is big-endian, with sizes in bytes. Additional bytes
 * after these fields belong to a newer version and are ignored.
 *
 * <pre>
 * kind 1  ping      sequence (4)
 * kind 2  ack       sequence (4)
 * kind 3  ping-req  sequence (4), target (2)
 * kind 4  updates   for each: member (2), incarnation (6), state (1)
 * </pre>
 */
final class MembershipCodec {
    /** Maximum number of updates in a message. With a ping they fit well into {@link PacketCodec#MAX_BYTES}. */
    static final int MAX_UPDATES = 12;

    private static final int PING = 1;
    private static final int ACK = 2;
    private static final int PING_REQUEST = 3;
    private static final int UPDATES = 4;

    private static final int SEQUENCE_BYTES = 4;
    private static final int TARGET_BYTES = 2;
    private static final int UPDATE_BYTES = 9;
    private static final MemberState[] STATES = MemberState.values(); // the ordinal is the code on the wire

    private MembershipCodec() {}

    /** Encodes a message as a part of a packet. */
    static Part encode(MembershipMessage message) {
        if (message instanceof Ping ping) {
            return new Part(PING, sequence(ping.sequence()));
        }
        if (message instanceof Ack ack) {
            return new Part(ACK, sequence(ack.sequence()));
        }
        if (message instanceof PingRequest request) {
            return new Part(PING_REQUEST, encode(request));
        }
        return new Part(UPDATES, encode((Updates) message));
    }

    private static byte[] sequence(int sequence) {
        return ByteBuffer.allocate(SEQUENCE_BYTES).putInt(sequence).array();
    }

    private static byte[] encode(PingRequest request) {
        return ByteBuffer.allocate(SEQUENCE_BYTES + TARGET_BYTES)
                .putInt(request.sequence())
                .putShort((short) request.target())
                .array();
    }

    private static byte[] encode(Updates updates) {
        ByteBuffer buffer = ByteBuffer.allocate(updates.updates().size() * UPDATE_BYTES);
        for (MemberUpdate update : updates.updates()) {
            buffer.putShort((short) update.member());
            PacketCodec.putIncarnation(buffer, update.incarnation());
            buffer.put((byte) update.state().ordinal());
        }
        return buffer.array();
    }

    /** Decodes a part; returns null if it is too short or its kind does not belong to this protocol. */
    static MembershipMessage decode(Part part) {
        ByteBuffer buffer = ByteBuffer.wrap(part.content());
        return switch (part.kind()) {
            case PING -> buffer.remaining() < SEQUENCE_BYTES ? null : new Ping(buffer.getInt());
            case ACK -> buffer.remaining() < SEQUENCE_BYTES ? null : new Ack(buffer.getInt());
            case PING_REQUEST -> decodePingRequest(buffer);
            case UPDATES -> decodeUpdates(buffer);
            default -> null;
        };
    }

    /**
     * A part that is too short for both fields holds only the target. Its sequence number is 0, which no ping has, so
     * its ack is ignored.
     */
    private static PingRequest decodePingRequest(ByteBuffer buffer) {
        if (buffer.remaining() < TARGET_BYTES) {
            return null;
        }
        int sequence = buffer.remaining() >= SEQUENCE_BYTES + TARGET_BYTES ? buffer.getInt() : 0;
        return new PingRequest(sequence, Short.toUnsignedInt(buffer.getShort()));
    }

    /** Skips updates with a state that is unknown to this version. */
    private static Updates decodeUpdates(ByteBuffer buffer) {
        List<MemberUpdate> updates = new ArrayList<>();
        while (buffer.remaining() >= UPDATE_BYTES) {
            int member = Short.toUnsignedInt(buffer.getShort());
            long incarnation = PacketCodec.getIncarnation(buffer);
            int state = buffer.get();
            if (state > MemberState.UNKNOWN.ordinal() && state < STATES.length) {
                updates.add(new MemberUpdate(member, incarnation, STATES[state]));
            }
        }
        return new Updates(updates);
    }
}
