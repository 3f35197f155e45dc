package ploverdale.replication;

import java.util.Comparator;

/**
 * Identifies a gateway's claim to execute a write. A gateway may claim a write more than once, each time under another
 * number. What is known of each claim is in {@link WriteOutcome}.
 *
 * @param gateway the gateway's number
 * @param incarnation of that gateway's process
 * @param number unique within the incarnation
 */
public record ClaimId(int gateway, long incarnation, int number) implements Comparable<ClaimId> {
    private static final Comparator<ClaimId> ORDER = Comparator.comparingInt(ClaimId::gateway)
            .thenComparingLong(ClaimId::incarnation)
            .thenComparingInt(ClaimId::number);

    @Override
    public int compareTo(ClaimId other) {
        return ORDER.compare(this, other);
    }

    /** As it stands in the log line of an alarm, whose spelling is fixed. */
    @Override
    public String toString() {
        return "IdempotencyRecord[gateway=" + gateway + ", start=" + incarnation + ", number=" + number + "]";
    }
}
