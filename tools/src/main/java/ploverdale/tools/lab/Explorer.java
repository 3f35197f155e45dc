package ploverdale.tools.lab;

import java.util.ArrayList;
import java.util.List;
import ploverdale.quota.LeaseDurations;
import ploverdale.tools.lab.BoundedQuotaModel.Demand;
import ploverdale.tools.lab.BoundedQuotaModel.Fault;
import ploverdale.tools.lab.BoundedQuotaModel.Kind;

/**
 * Explores the bounded quota model exhaustively: runs it with each single fault and with each pair of faults, under each
 * demand. To shorten a run, only an evenly spread sample of the pairs can be used.
 */
public final class Explorer {
    /**
     * The result of an exploration.
     *
     * @param runs number of runs of the model
     * @param firstViolation description of the first run that violated a rule; null if none did
     */
    public record Result(long runs, String firstViolation) {}

    /** One gateway and then the others; one gateway and then all; each in turn; two of three. */
    public static final List<Demand> DEMANDS = List.of(
            new Demand(new int[] {1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6}),
            new Demand(new int[] {1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7}),
            new Demand(new int[] {1, 1, 1, 2, 2, 2, 4, 4, 4}),
            new Demand(new int[] {3, 3, 3, 3, 5, 5}));

    private final LeaseDurations leaseDurations;
    private final double drift;
    private final long told;
    private final boolean startsAlike;

    public Explorer(LeaseDurations leaseDurations, double drift, long told) {
        this(leaseDurations, drift, told, false);
    }

    /** @param startsAlike whether each process of a gateway uses the same epoch, which is a deliberate defect */
    Explorer(LeaseDurations leaseDurations, double drift, long told, boolean startsAlike) {
        this.startsAlike = startsAlike;
        this.leaseDurations = leaseDurations;
        this.drift = drift;
        this.told = told;
    }

    private static List<Fault> all() {
        List<Fault> all = new ArrayList<>();
        for (int s = BoundedQuotaModel.FROM; s < BoundedQuotaModel.STEPS; s++) {
            for (Kind k : Kind.values()) {
                int n = k.ordinal() >= Kind.KILL.ordinal() ? BoundedQuotaModel.GATEWAYS : BoundedQuotaModel.MESSAGES;
                for (int i = 0; i < n; i++) {
                    all.add(new Fault(s, k, i));
                }
            }
        }
        return all;
    }

    /**
     * Runs the model with each single fault and with a sample of the pairs, until a run violates a rule.
     *
     * @param everyPair about one pair in this many is run; 1 for all pairs
     */
    public Result explore(int everyPair) {
        List<Fault> all = all();
        long runs = 0;
        for (Demand d : DEMANDS) {
            for (int a = 0; a < all.size(); a++) {
                for (int b = a; b < all.size(); b++) {
                    if (b > a && (a * 31L + b) % everyPair != 0) {
                        continue;
                    }
                    List<Fault> faults = b == a ? List.of(all.get(a)) : List.of(all.get(a), all.get(b));
                    runs++;
                    String bad = BoundedQuotaModel.run(leaseDurations, drift, told, startsAlike, d, faults);
                    if (bad != null) {
                        return new Result(runs, bad + " with " + faults + ", demand " + DEMANDS.indexOf(d));
                    }
                }
            }
        }
        return new Result(runs, null);
    }
}
