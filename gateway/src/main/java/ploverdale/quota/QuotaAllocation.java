package ploverdale.quota;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import java.util.zip.CRC32C;

/**
 * The static allocation of the capacity of each shared limit to gateways. Every gateway has an entitlement, a whole
 * number of units; the entitlements add up to the capacity. A share of the entitlement is guaranteed: the gateway owns
 * these units without a lease. The rest is the gateway's lease partition, whose units are used and sub-leased by the
 * current holder of the partition's lease. Which gateways get the remainder of the integer division depends on the
 * limit. If gateways are added or the capacity is reduced, an entitlement can grow only by rounding.
 *
 * <p>Immutable. Gateways exchange quota messages only with those that have the same allocation, see {@link #id}.
 *
 * @param limits in the same order at all gateways, since messages refer to a limit by its index
 * @param gateways number of gateways; gateways are numbered from 0
 * @param guaranteedShare share of an entitlement that is guaranteed, rounded down to whole units; at most a half, so
 *     that the guaranteed units of two allocations together stay within the larger capacity while gateways change from
 *     one to the other
 */
public record QuotaAllocation(List<SharedLimit> limits, int gateways, double guaranteedShare) {
    private static final double MAX_GUARANTEED_SHARE = 0.5;
    private static final int ACCEPTORS_OF_SMALL_FLEET = 3; // the smallest number that tolerates one failure
    private static final int ACCEPTORS_OF_LARGE_FLEET = 5; // tolerates two failures

    public QuotaAllocation {
        limits = List.copyOf(limits);
        if (gateways < 1 || guaranteedShare < 0 || guaranteedShare > MAX_GUARANTEED_SHARE) {
            throw new IllegalArgumentException(
                    "invalid quota allocation: " + gateways + " gateways, guaranteed share " + guaranteedShare);
        }
    }

    /** Returns the units of a limit that a gateway is entitled to: the guaranteed and the leased ones. */
    public int entitlement(int gateway, int limit) {
        int capacity = limits.get(limit).capacity();
        int index = Math.floorMod(gateway - hash(limits.get(limit).name()), gateways);
        return capacity / gateways + (index < capacity % gateways ? 1 : 0);
    }

    /** Returns the units of its entitlement that a gateway owns without a lease. */
    public int guaranteedUnits(int gateway, int limit) {
        return (int) (entitlement(gateway, limit) * guaranteedShare);
    }

    /** Returns the units of a gateway's entitlement that belong to its lease partition. */
    public int leasedUnits(int gateway, int limit) {
        return entitlement(gateway, limit) - guaranteedUnits(gateway, limit);
    }

    /**
     * Returns the longest time that a unit of any concurrency limit may stay in use, in tenths of a millisecond; 0
     * where there is no such limit.
     */
    long maxHoldTime() {
        return limits.stream()
                .filter(limit -> limit.kind() == SharedLimit.Kind.CONCURRENCY)
                .mapToLong(SharedLimit::maxHoldTime)
                .max()
                .orElse(0);
    }

    /**
     * Returns the number of acceptors that grant the lease of a partition. Where it is 1, each gateway holds its own
     * partition permanently.
     */
    public int acceptorCount() {
        if (gateways < ACCEPTORS_OF_SMALL_FLEET) {
            return 1;
        }
        return gateways < ACCEPTORS_OF_LARGE_FLEET ? ACCEPTORS_OF_SMALL_FLEET : ACCEPTORS_OF_LARGE_FLEET;
    }

    /**
     * Returns an acceptor of a partition. The acceptors do not depend on which gateways are alive.
     *
     * @param index below {@link #acceptorCount}; index 0 is the gateway that the partition belongs to
     */
    public int acceptor(int partition, int index) {
        return (partition + index) % gateways;
    }

    /**
     * Returns the index of a gateway among the acceptors of a partition; from {@link #acceptorCount} on, the gateway
     * is not one of them.
     */
    int acceptorIndex(int gateway, int partition) {
        return Math.floorMod(gateway - partition, gateways);
    }

    /** Returns whether a gateway is one of the acceptors of a partition. */
    public boolean isAcceptor(int gateway, int partition) {
        return acceptorIndex(gateway, partition) < acceptorCount();
    }

    /** Returns how many acceptors must grant a lease. Any two majorities have an acceptor in common. */
    public int majority() {
        return acceptorCount() / 2 + 1;
    }

    /**
     * Returns a checksum of the allocation. Gateways exchange it in their packets and ignore quota messages from
     * gateways whose id differs.
     */
    public int id() {
        String limitFingerprints =
                limits.stream().map(SharedLimit::fingerprint).collect(Collectors.joining(", ", "[", "]"));
        return checksum(gateways + " " + guaranteedShare + " " + limitFingerprints);
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
