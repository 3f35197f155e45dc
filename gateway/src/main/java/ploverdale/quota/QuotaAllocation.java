package ploverdale.quota;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * How budgets are divided among gateways by right: each has its part of every whole, of it a floor that it owns outright,
 * and the rest as an estate, which is lent by whoever is its steward. Rights are whole numbers that add up to the whole; the
 * surplus begins with another gateway for each budget. A smaller whole makes no right larger.
 *
 * @param floorShare of a right that is floor, rounded down; under a half, so that the floors of two divisions together stay
 *     within the larger whole
 */
public record QuotaAllocation(List<Budget> budgets, int gateways, double floorShare) {
    static final int WHOLE_MOST = 65_535;
    private static final int KEEPERS_MOST = 5;
    private static final int KEEPERS_LEAST = 3; // with fewer gateways there is no majority that outlives one

    public QuotaAllocation {
        budgets = List.copyOf(budgets);
        if (gateways < 1 || floorShare < 0 || floorShare > 0.5) {
            throw new IllegalArgumentException(gateways + " gateways, a floor of " + floorShare);
        }
    }

    /** Parts that are this gateway's by right. */
    public int right(int gateway, int budget) {
        int whole = budgets.get(budget).whole();
        int place = Math.floorMod(gateway - hash(budgets.get(budget).name()), gateways);
        return whole / gateways + (place < whole % gateways ? 1 : 0);
    }

    /** Of its right, what it owns outright. */
    public int floor(int gateway, int budget) {
        return (int) (right(gateway, budget) * floorShare);
    }

    /** Of its right, what its steward lends. */
    public int partition(int gateway, int budget) {
        return right(gateway, budget) - floor(gateway, budget);
    }

    /** How many gateways keep the promise of who is an estate's steward; one where each is its own, for good. */
    public int keepers() {
        return gateways < KEEPERS_LEAST ? 1 : gateways < KEEPERS_MOST ? KEEPERS_LEAST : KEEPERS_MOST;
    }

    /** One of those, the gateway itself first; the same at every gateway, whoever is alive. */
    public int acceptor(int partition, int place) {
        return (partition + place) % gateways;
    }

    public boolean keeps(int gateway, int partition) {
        return Math.floorMod(gateway - partition, gateways) < keepers();
    }

    public int majority() {
        return keepers() / 2 + 1;
    }

    /** Stands for the whole of it; gateways with another one have nothing to do with one another. */
    public int id() {
        CRC32C crc = new CRC32C();
        crc.update((gateways + " " + floorShare + " " + budgets).getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    private static int hash(String name) {
        CRC32C crc = new CRC32C();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue() & 0x7FFFFFFF;
    }
}
