package ploverdale.quota;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import java.util.zip.CRC32C;

/**
 * How the capacity of each shared limit is allocated to gateways. Each gateway has an entitlement; entitlements are whole
 * numbers of units that add up to the capacity. A share of the entitlement is guaranteed: the gateway owns it without a
 * lease. The rest is the gateway's lease partition, which is used and sub-leased by whoever holds the partition's lease. The
 * remainder of the integer division goes to other gateways for each limit. With more gateways, or less capacity, no
 * entitlement grows by more than rounding.
 *
 * <p>Immutable. All gateways that exchange quota messages have the same allocation, see {@link #id}.
 *
 * @param limits in an order that all gateways share: messages name a limit by its index
 * @param gateways how many there are; they are numbered from 0
 * @param guaranteedShare of an entitlement that is guaranteed, rounded down to units; at most a half, so that the guaranteed
 *     units of two allocations together stay within the larger capacity while gateways move from one to the other
 */
public record QuotaAllocation(List<SharedLimit> limits, int gateways, double guaranteedShare) {
    private static final double MAX_GUARANTEED_SHARE = 0.5;
    private static final int ACCEPTORS_OF_SMALL_CLUSTER = 3; // the least with a majority that survives one failure
    private static final int ACCEPTORS_OF_LARGE_CLUSTER = 5; // a majority survives two failures

    public QuotaAllocation {
        limits = List.copyOf(limits);
        if (gateways < 1 || guaranteedShare < 0 || guaranteedShare > MAX_GUARANTEED_SHARE) {
            throw new IllegalArgumentException(gateways + " gateways, a floor of " + guaranteedShare);
        }
    }

    /** Units of a limit that are this gateway's: guaranteed and leased. */
    public int entitlement(int gateway, int limit) {
        int capacity = limits.get(limit).capacity();
        int place = Math.floorMod(gateway - hash(limits.get(limit).name()), gateways);
        return capacity / gateways + (place < capacity % gateways ? 1 : 0);
    }

    /** Units of its entitlement that a gateway owns without a lease. */
    public int guaranteedUnits(int gateway, int limit) {
        return (int) (entitlement(gateway, limit) * guaranteedShare);
    }

    /** Units of its entitlement that are used and sub-leased by the holder of this gateway's lease partition. */
    public int leasedUnits(int gateway, int limit) {
        return entitlement(gateway, limit) - guaranteedUnits(gateway, limit);
    }

    /** The longest time for which a unit of any limit may stay in use, in tenths of a millisecond; 0 where none is used. */
    long longestUse() {
        return limits.stream()
                .filter(limit -> limit.kind() == SharedLimit.Kind.CONCURRENCY)
                .mapToLong(SharedLimit::maxHoldTime)
                .max()
                .orElse(0);
    }

    /** How many acceptors grant the lease of a partition; with one, each gateway holds its own partition for good. */
    public int acceptorCount() {
        if (gateways < ACCEPTORS_OF_SMALL_CLUSTER) {
            return 1;
        }
        return gateways < ACCEPTORS_OF_LARGE_CLUSTER ? ACCEPTORS_OF_SMALL_CLUSTER : ACCEPTORS_OF_LARGE_CLUSTER;
    }

    /** One of the partition's acceptors, by its place; place 0 is the gateway itself. Does not depend on who is alive. */
    public int acceptor(int partition, int place) {
        return (partition + place) % gateways;
    }

    /** The place of a gateway among the partition's acceptors; it is none of them from {@link #acceptorCount} on. */
    int acceptorPlace(int gateway, int partition) {
        return Math.floorMod(gateway - partition, gateways);
    }

    /** Whether the gateway is one of the partition's acceptors. */
    public boolean isAcceptor(int gateway, int partition) {
        return acceptorPlace(gateway, partition) < acceptorCount();
    }

    /** How many acceptors have to grant a lease: any two majorities have an acceptor in common. */
    public int majority() {
        return acceptorCount() / 2 + 1;
    }

    /** A checksum of the allocation. Gateways exchange it and ignore the quota messages of those with another one. */
    public int id() {
        String text = limits.stream().map(SharedLimit::fingerprint).collect(Collectors.joining(", ", "[", "]"));
        return checksum(gateways + " " + guaranteedShare + " " + text);
    }

    private static int hash(String name) {
        return checksum(name) & Integer.MAX_VALUE;
    }

    private static int checksum(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }
}
