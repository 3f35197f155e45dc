package ploverdale.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ploverdale.membership.Packet.Part;

/**
 * Collects the parts for each other gateway and packs them into as few packets as possible, within a bandwidth that a token
 * bucket limits. A packet that exceeds the budget is dropped, not queued: each protocol sends again what still matters.
 *
 * <p>Not thread-safe: belongs to the event loop. Times in tenths of a millisecond, of a monotonic clock.
 */
public final class PacketQueue {
    /**
     * The bytes of a packet for another gateway.
     *
     * @param to the number of that gateway
     */
    public record OutboundPacket(int to, byte[] bytes) {}

    private static final double BURST_SECONDS = 2;
    private static final double SECOND = 10_000;

    private final double bytesPerSecond;
    private final double burstBytes;
    private final Map<Integer, List<Part>> pending = new LinkedHashMap<>();
    private double budgetBytes;
    private long refilledAt;
    private long bytesSent;
    private long packetsDropped;

    /** @param bytesPerSecond of payload that may be sent, averaged over {@value #BURST_SECONDS} seconds */
    public PacketQueue(double bytesPerSecond, long now) {
        this.bytesPerSecond = bytesPerSecond;
        burstBytes = bytesPerSecond * BURST_SECONDS;
        budgetBytes = burstBytes;
        refilledAt = now;
    }

    /** Appends a part for a gateway. */
    public void add(int to, Part part) {
        pending.computeIfAbsent(to, key -> new ArrayList<>()).add(part);
    }

    /** The unused fraction of the largest burst, from 0 to 1, for senders that can wait. */
    public double budgetFraction(long now) {
        return Math.min(1, refilled(now) / burstBytes);
    }

    private double refilled(long now) {
        return budgetBytes + Math.max(0, now - refilledAt) / SECOND * bytesPerSecond;
    }

    /** Empties the queue and returns the packets that fit the budget, by gateway in the order of their first part. */
    public List<OutboundPacket> drain(long now, long incarnation, int allocationId) {
        budgetBytes = Math.min(burstBytes, refilled(now));
        refilledAt = Math.max(refilledAt, now);
        List<OutboundPacket> packets = new ArrayList<>();
        pending.forEach((to, parts) -> {
            for (List<Part> group : groupByPacket(parts)) {
                byte[] bytes = PacketCodec.encode(new Packet(incarnation, allocationId, group));
                if (tryConsume(bytes.length)) {
                    packets.add(new OutboundPacket(to, bytes));
                }
            }
        });
        pending.clear();
        return packets;
    }

    /** Splits parts, in their order, into lists that fit a packet each. */
    private static List<List<Part>> groupByPacket(List<Part> parts) {
        List<List<Part>> groups = new ArrayList<>();
        List<Part> group = new ArrayList<>();
        int groupBytes = 0;
        for (Part part : parts) {
            if (groupBytes + part.encodedLength() > PacketCodec.MAX_PARTS_BYTES) {
                groups.add(group);
                group = new ArrayList<>();
                groupBytes = 0;
            }
            group.add(part);
            groupBytes += part.encodedLength();
        }
        groups.add(group);
        return groups;
    }

    private boolean tryConsume(int bytes) {
        if (bytes > budgetBytes) {
            packetsDropped++;
            return false;
        }
        budgetBytes -= bytes;
        bytesSent += bytes;
        return true;
    }

    /** Bytes sent since the start. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Packets dropped for want of budget since the start. */
    public long packetsDropped() {
        return packetsDropped;
    }
}
