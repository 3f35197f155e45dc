package ploverdale.tools.lab;

import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import ploverdale.quota.LeaseDurations;
import ploverdale.quota.QuotaAllocation;
import ploverdale.quota.SharedLimit;
import ploverdale.tools.lab.FleetModel.Settings;

/**
 * Some runs of one fleet in simulated time: how soon parts follow a shift of demand to one gateway, how soon the parts of a
 * gateway that was killed are divided anew, what is idle, and what it costs in bytes.
 */
public final class QuotaExperiment {
    private static final long MS = 10;
    private static final long SECOND = 1000 * MS;
    private static final long LOOK = 50 * MS;
    private static final int PARTS = 8; // of each gateway by right
    private static final double FLOOR = 0.5;
    private static final double USES = 0.25; // of what each holds, before the shift
    private static final int WANTS = 40; // parts, by the one to whom demand shifts: five times its right
    private static final double SHIFTED =
            0.8; // of what it wants, or of what floors and the others' own use leave to it
    private static final long WITHIN = 60 * SECOND;

    /**
     * What was found. Times in milliseconds; of those that took longer than a minute, the minute.
     *
     * @param bytes an instance and second
     * @param idle share of the whole that nobody could spend, on the average after the start and before the faults
     */
    public record Result(
            int gateways,
            long loanMs,
            double loss,
            long shiftP50,
            long shiftP99,
            long deathP50,
            long deathP99,
            double bytes,
            double idle,
            int violations) {
        /** The names of the fields, for a file. */
        public static final String CSV_HEADER = "gateways,loan_ms,loss,shift_p50_ms,shift_p99_ms,death_p50_ms,death_p99_ms,"
                + "bytes_a_second,idle,over";

        public String csvRow() {
            return String.format(
                    Locale.ROOT,
                    "%d,%d,%.2f,%d,%d,%d,%d,%.0f,%.3f,%d",
                    gateways,
                    loanMs,
                    loss,
                    shiftP50,
                    shiftP99,
                    deathP50,
                    deathP99,
                    bytes,
                    idle,
                    violations);
        }
    }

    private QuotaExperiment() {}

    /** Plays so many seeds. */
    public static Result run(int gateways, long loanMs, double loss, long firstSeed, int seeds) {
        Histogram shift = new Histogram(3);
        Histogram death = new Histogram(3);
        double bytes = 0;
        double idle = 0;
        int violations = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            QuotaAllocation d = new QuotaAllocation(
                    List.of(new SharedLimit("tenant", SharedLimit.Kind.RATE, PARTS * gateways, SECOND)),
                    gateways,
                    FLOOR);
            LeaseDurations leaseDurations = new LeaseDurations(loanMs * MS * 3 / 2, loanMs * MS, 0.05);
            FleetModel m = new FleetModel(new Settings(d, leaseDurations, 0.05, loss, 0.05, 20 * MS, 2000), seed);
            SplittableRandom random = new SplittableRandom(~seed);
            m.instances().forEach(i -> i.start(0));
            m.until(2 * leaseDurations.grantorTerm(leaseDurations.partitionLease())
                    + 2 * leaseDurations.grantorTerm(leaseDurations.subLease()));
            long calmFrom = m.now();
            long bytesFrom = bytes(m);
            double sum = 0;
            int looks = 0;
            for (; m.now() < calmFrom + 5 * SECOND; looks++) {
                asks(m, random, 1, USES * PARTS);
                m.until(m.now() + LOOK);
                sum += m.parts(0);
            }
            idle += 1 - sum / looks / d.limits().get(0).capacity();
            bytes += (bytes(m) - bytesFrom) / 5.0 / gateways;
            long shiftFrom = m.now();
            int othersFloors = 0;
            for (int i = 1; i < gateways; i++) {
                othersFloors += d.guaranteedUnits(i, 0);
            }
            double enough = SHIFTED
                    * Math.min(WANTS, d.limits().get(0).capacity() - othersFloors - USES * PARTS * (gateways - 1) / 2);
            while (m.instance(0).parts(0) < enough && m.now() < shiftFrom + WITHIN) {
                asks(m, random, 1, USES * PARTS);
                wants(m, random);
                m.until(m.now() + LOOK);
            }
            shift.recordValue((m.now() - shiftFrom) / MS);
            int dead = 1 + random.nextInt(gateways - 1);
            long diedAt = m.now();
            m.instance(dead).kill();
            // Two gateways have no keepers: what is the dead one's stays idle until it is back.
            int all = d.acceptorCount() == 1
                    ? d.entitlement(0, 0)
                    : d.limits().get(0).capacity() - d.guaranteedUnits(dead, 0);
            while (m.parts(0) < all && m.now() < diedAt + WITHIN) {
                m.until(m.now() + LOOK);
            }
            death.recordValue((m.now() - diedAt) / MS);
            violations += m.violations().size();
        }
        return new Result(
                gateways,
                loanMs,
                loss,
                shift.getValueAtPercentile(50),
                shift.getValueAtPercentile(99),
                death.getValueAtPercentile(50),
                death.getValueAtPercentile(99),
                bytes / seeds,
                idle / seeds,
                violations);
    }

    private static long bytes(FleetModel m) {
        return m.instances().stream().mapToLong(FleetModel.Instance::bytes).sum();
    }

    private static void asks(FleetModel m, SplittableRandom random, int from, double perSecond) {
        for (int i = from; i < m.instances().size(); i++) {
            if (random.nextDouble() < perSecond * LOOK / SECOND) {
                int who = i;
                m.at(m.now() + random.nextLong(LOOK), () -> m.instance(who).spend(0, 0));
            }
        }
    }

    private static void wants(FleetModel m, SplittableRandom random) {
        for (int n = 0; n < WANTS * LOOK / SECOND; n++) {
            m.at(m.now() + random.nextLong(LOOK), () -> m.instance(0).spend(0, 0));
        }
    }
}
