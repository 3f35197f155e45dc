package ploverdale.quota;

import ploverdale.membership.Packet.Part;
import ploverdale.membership.PacketQueue;

/**
 * The circumstances in which a message is handled.
 *
 * @param now tenths of a millisecond of a monotonic clock
 * @param out takes the answers
 */
record MessageContext(long now, Peer sender, PacketQueue out) {
    /** Sends an encoded message back to the sender. */
    void reply(Part message) {
        out.add(sender.gateway(), message);
    }
}
