package ploverdale.quota;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import java.util.zip.CRC32C;

/**
 * How budgets are divided among gateways by right: each has its part of every whole, of it a floor that it owns outright,
 * and the rest as an estate, which is lent by whoever is its steward. Rights are whole numbers that add up to the whole; the
 * surplus begins with another gateway for each budget. A smaller whole makes no right larger.
 *
 * @param guaranteedShare of a right that is floor, rounded down; under a half, so that the floors of two divisions together stay
 *     within the larger whole
 */
public record QuotaAllocation(List<SharedLimit> limits, int gateways, double guaranteedShare) {
    static final int WHOLE_MOST = 65_535;
    private static final int KEEPERS_MOST = 5;
    private static final int KEEPERS_LEAST = 3; // with fewer gateways there is no majority that outlives one

    public QuotaAllocation {
        limits = List.copyOf(limits);
        if (gateways < 1 || guaranteedShare < 0 || guaranteedShare > 0.5) {
            throw new IllegalArgumentException(gateways + " gateways, a floor of " + guaranteedShare);
        }
    }

    /** Parts that are this gateway's by right. */
    public int entitlement(int gateway, int budget) {
        int whole = limits.get(budget).capacity();
        int place = Math.floorMod(gateway - hash(limits.get(budget).name()), gateways);
        return whole / gateways + (place < whole % gateways ? 1 : 0);
    }

    /** Of its right, what it owns outright. */
    public int guaranteedUnits(int gateway, int budget) {
        return (int) (entitlement(gateway, budget) * guaranteedShare);
    }

    /** Of its right, what its steward lends. */
    public int leasedUnits(int gateway, int budget) {
        return entitlement(gateway, budget) - guaranteedUnits(gateway, budget);
    }

    /** How many gateways keep the promise of who is an estate's steward; one where each is its own, for good. */
    public int acceptorCount() {
        return gateways < KEEPERS_LEAST ? 1 : gateways < KEEPERS_MOST ? KEEPERS_LEAST : KEEPERS_MOST;
    }

    /** One of those, the gateway itself first; the same at every gateway, whoever is alive. */
    public int acceptor(int partition, int place) {
        return (partition + place) % gateways;
    }

    public boolean isAcceptor(int gateway, int partition) {
        return Math.floorMod(gateway - partition, gateways) < acceptorCount();
    }

    public int majority() {
        return acceptorCount() / 2 + 1;
    }

    /** Stands for the whole of it; gateways with another one have nothing to do with one another. */
    public int id() {
        String text = limits.stream().map(SharedLimit::fingerprint).collect(Collectors.joining(", ", "[", "]"));
        CRC32C crc = new CRC32C();
        crc.update((gateways + " " + guaranteedShare + " " + text).getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    private static int hash(String name) {
        CRC32C crc = new CRC32C();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue() & 0x7FFFFFFF;
    }
}
