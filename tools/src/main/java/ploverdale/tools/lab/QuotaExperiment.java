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
 * Experiments with a shared rate limit in simulated time. Measures how soon units follow a shift of demand to one gateway, how
 * soon the units of a killed gateway are available to others, what share of the capacity nobody holds, and the bytes sent.
 */
public final class QuotaExperiment {
    private static final long MS = 10;
    private static final long SECOND = 1000 * MS;
    private static final long LOOK = 50 * MS;

    /** Units that each gateway is entitled to. */
    private static final int PARTS = 8;

    /** Share of its entitlement that a gateway is guaranteed. */
    private static final double FLOOR = 0.5;

    /** Share of its entitlement that each gateway consumes before the shift. */
    private static final double USES = 0.25;

    /** Units per second that gateway 0 consumes after the shift: five times its entitlement. */
    private static final int WANTS = 40;

    /** The shift is complete when gateway 0 holds this share of what it can get. */
    private static final double SHIFTED = 0.8;

    /** A shift or a takeover that takes longer is recorded with this time. */
    private static final long WITHIN = 60 * SECOND;

    /**
     * The result of the runs of one fleet. Times are in milliseconds; those above a minute are recorded as a minute.
     *
     * @param loanMs term of a sub-lease
     * @param loss share of datagrams that are lost
     * @param shiftP50 time until units have followed the shift of demand
     * @param deathP50 time until the units of the killed gateway are available to others
     * @param bytes bytes per second that a gateway sends
     * @param idle average share of the capacity that no gateway held, after the start and before the shift
     * @param violations number of times that the limit was exceeded
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
        /** Header line of the CSV file. */
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

    /** Runs the experiment once for each of a range of seeds. */
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
            // With two gateways there is a single acceptor, so the units of a dead gateway stay idle until it is back.
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

    /** Schedules random acquisitions by gateways for the next interval, at the given rate for each of them. */
    private static void asks(FleetModel m, SplittableRandom random, int from, double perSecond) {
        for (int i = from; i < m.instances().size(); i++) {
            if (random.nextDouble() < perSecond * LOOK / SECOND) {
                int who = i;
                m.at(m.now() + random.nextLong(LOOK), () -> m.instance(who).spend(0, 0));
            }
        }
    }

    /** Schedules the demand of gateway 0 for the next interval. */
    private static void wants(FleetModel m, SplittableRandom random) {
        for (int n = 0; n < WANTS * LOOK / SECOND; n++) {
            m.at(m.now() + random.nextLong(LOOK), () -> m.instance(0).spend(0, 0));
        }
    }
}
