package ploverdale.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ploverdale.membership.Packet.Part;

/**
 * Puts the parts for each other gateway into as few parcels as hold them, within a budget of bytes that time fills. What
 * does not fit waits for its next turn or is dropped by whoever made it: parts say by themselves whether they are urgent.
 */
public final class PacketQueue {
    /** A parcel's bytes for another gateway. */
    public record OutboundPacket(int to, byte[] bytes) {}

    private static final double SAVED_SECONDS = 2;
    private static final double SECOND = 10_000; // times are tenths of a millisecond

    private final double bytesPerSecond;
    private final Map<Integer, List<Part>> waiting = new LinkedHashMap<>();
    private double purse;
    private long purseAt;
    private long spent;
    private long dropped;

    /** @param bytesPerSecond that may go out, on the average of some seconds */
    public PacketQueue(double bytesPerSecond, long now) {
        this.bytesPerSecond = bytesPerSecond;
        purse = bytesPerSecond * SAVED_SECONDS;
        purseAt = now;
    }

    /** One more part for this gateway, behind those that wait. */
    public void add(int to, Part part) {
        waiting.computeIfAbsent(to, x -> new ArrayList<>()).add(part);
    }

    /** What is left now of the bytes that may be saved up, as a share; for what can wait. */
    public double left(long now) {
        return Math.min(
                1, (purse + Math.max(0, now - purseAt) / SECOND * bytesPerSecond) / (bytesPerSecond * SAVED_SECONDS));
    }

    /** What can go now; parts over the budget are dropped, since each is told again when it still matters. */
    public List<OutboundPacket> letters(long now, long incarnation, int division) {
        purse = Math.min(bytesPerSecond * SAVED_SECONDS, purse + Math.max(0, now - purseAt) / SECOND * bytesPerSecond);
        purseAt = Math.max(purseAt, now);
        List<OutboundPacket> letters = new ArrayList<>();
        waiting.forEach((to, parts) -> {
            int from = 0;
            while (from < parts.size()) {
                int next = from;
                int length = 0;
                while (next < parts.size() && length + parts.get(next).length() <= Packet.ROOM) {
                    length += parts.get(next++).length();
                }
                byte[] bytes = new Packet(incarnation, division, List.copyOf(parts.subList(from, next))).bytes();
                from = next;
                if (bytes.length <= purse) {
                    purse -= bytes.length;
                    spent += bytes.length;
                    letters.add(new OutboundPacket(to, bytes));
                } else {
                    dropped++;
                }
            }
        });
        waiting.clear();
        return letters;
    }

    /** Bytes sent since the start. */
    public long spent() {
        return spent;
    }

    /** Parcels dropped for want of budget since the start. */
    public long dropped() {
        return dropped;
    }
}
