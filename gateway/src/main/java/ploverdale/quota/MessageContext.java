package ploverdale.quota;

import ploverdale.membership.Packet.Part;
import ploverdale.membership.PacketQueue;

/**
 * The context in which a message is handled.
 *
 * @param now current time, in tenths of a millisecond of a monotonic clock
 * @param sender the process that sent the message
 * @param out receives the replies
 */
record MessageContext(long now, Peer sender, PacketQueue out) {
    /** Queues an encoded message to the sender. */
    void reply(Part message) {
        out.add(sender.gateway(), message);
    }
}
