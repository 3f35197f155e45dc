package ploverdale.replication;

/**
 * One try of one gateway to be the one that sends a write.
 *
 * @param gateway its number
 * @param start which start of its name
 * @param number counted by it
 */
public record IdempotencyRecord(int gateway, long start, int number) implements Comparable<IdempotencyRecord> {
    @Override
    public int compareTo(IdempotencyRecord o) {
        return gateway != o.gateway
                ? Integer.compare(gateway, o.gateway)
                : start != o.start ? Long.compare(start, o.start) : Integer.compare(number, o.number);
    }
}
