package ploverdale.tools.lab;

import java.util.ArrayList;
import java.util.List;
import ploverdale.quota.LeaseDurations;
import ploverdale.tools.lab.BoundedQuotaModel.Demand;
import ploverdale.tools.lab.BoundedQuotaModel.Fault;
import ploverdale.tools.lab.BoundedQuotaModel.FaultKind;

/**
 * Explores the bounded quota model exhaustively: runs it with each single fault and with each pair of faults, under
 * each demand. To shorten a run, only an evenly spread sample of the pairs can be used.
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
    private final double clockDrift;
    private final long declaredHoldTime;
    private final boolean reusesEpoch;

    public Explorer(LeaseDurations leaseDurations, double clockDrift, long declaredHoldTime) {
        this(leaseDurations, clockDrift, declaredHoldTime, false);
    }

    /** @param reusesEpoch whether each process of a gateway uses the same epoch, which is a deliberate defect */
    Explorer(LeaseDurations leaseDurations, double clockDrift, long declaredHoldTime, boolean reusesEpoch) {
        this.reusesEpoch = reusesEpoch;
        this.leaseDurations = leaseDurations;
        this.clockDrift = clockDrift;
        this.declaredHoldTime = declaredHoldTime;
    }

    private static List<Fault> allFaults() {
        List<Fault> allFaults = new ArrayList<>();
        for (int step = BoundedQuotaModel.FIRST_FAULT_STEP; step < BoundedQuotaModel.FAULTS_END_STEP; step++) {
            for (FaultKind kind : FaultKind.values()) {
                int targets = kind.ordinal() >= FaultKind.KILL.ordinal()
                        ? BoundedQuotaModel.GATEWAYS
                        : BoundedQuotaModel.MESSAGES_PER_STEP;
                for (int i = 0; i < targets; i++) {
                    allFaults.add(new Fault(step, kind, i));
                }
            }
        }
        return allFaults;
    }

    /**
     * Runs the model with each single fault and with a sample of the pairs, until a run violates a rule.
     *
     * @param pairInterval about one pair in this many is run; 1 for all pairs
     */
    public Result explore(int pairInterval) {
        List<Fault> allFaults = allFaults();
        long runs = 0;
        for (Demand demand : DEMANDS) {
            for (int first = 0; first < allFaults.size(); first++) {
                for (int second = first; second < allFaults.size(); second++) {
                    if (second > first && (first * 31L + second) % pairInterval != 0) {
                        continue;
                    }
                    List<Fault> faults = second == first
                            ? List.of(allFaults.get(first))
                            : List.of(allFaults.get(first), allFaults.get(second));
                    runs++;
                    String violation = BoundedQuotaModel.run(
                            leaseDurations, clockDrift, declaredHoldTime, reusesEpoch, demand, faults);
                    if (violation != null) {
                        return new Result(runs, violation + " with " + faults + ", demand " + DEMANDS.indexOf(demand));
                    }
                }
            }
        }
        return new Result(runs, null);
    }
}
