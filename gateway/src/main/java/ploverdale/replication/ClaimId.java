package ploverdale.replication;

import java.util.Comparator;

/**
 * Identifies a gateway's claim to execute a write. A gateway may claim the same write several times, each time with
 * another number. What is known of each claim is recorded in {@link WriteOutcome}.
 *
 * @param gateway number of the gateway that made the claim
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

    /** The text is part of the log line of an alarm; its spelling is fixed. */
    @Override
    public String toString() {
        return "IdempotencyRecord[gateway=" + gateway + ", start=" + incarnation + ", number=" + number + "]";
    }
}
