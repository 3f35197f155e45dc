package ploverdale.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ploverdale.membership.Packet.Part;

/**
 * Collects the parts for each other gateway and combines them into packets. A token bucket limits the bandwidth. A
 * packet that exceeds the budget is dropped rather than queued, since each protocol repeats what is still relevant.
 *
 * <p>Not thread-safe; used on the event loop only. Times in tenths of a millisecond of a monotonic clock.
 */
public final class PacketQueue {
    /**
     * An encoded packet for another gateway.
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

    /**
     * Creates an empty queue with a full budget.
     *
     * @param bytesPerSecond the bandwidth limit for packets, averaged over {@value #BURST_SECONDS} seconds
     */
    public PacketQueue(double bytesPerSecond, long now) {
        this.bytesPerSecond = bytesPerSecond;
        burstBytes = bytesPerSecond * BURST_SECONDS;
        budgetBytes = burstBytes;
        refilledAt = now;
    }

    /** Queues a part for a gateway. */
    public void add(int to, Part part) {
        pending.computeIfAbsent(to, key -> new ArrayList<>()).add(part);
    }

    /**
     * Returns the available fraction of the maximum burst, from 0 to 1. Senders whose data can wait hold back when it
     * is low.
     */
    public double budgetFraction(long now) {
        return Math.min(1, refilled(now) / burstBytes);
    }

    /** Returns the budget in bytes at a time, before the limit of the burst is applied. */
    private double refilled(long now) {
        return budgetBytes + Math.max(0, now - refilledAt) / SECOND * bytesPerSecond;
    }

    /**
     * Empties the queue and returns the packets that fit the budget. Gateways come in the order of their first queued
     * part.
     */
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

    /** Splits parts, in their order, into lists that each fit into a packet. */
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

    /** Returns the number of bytes sent since the start. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Returns the number of packets dropped since the start because they exceeded the budget. */
    public long packetsDropped() {
        return packetsDropped;
    }
}
