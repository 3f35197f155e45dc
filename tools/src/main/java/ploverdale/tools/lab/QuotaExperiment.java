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
 * Experiments with a shared rate limit in simulated time. Measures how soon units follow a shift of demand to one
 * gateway, how soon the units of a killed gateway are available to others, what share of the capacity nobody holds,
 * and the bytes sent.
 */
public final class QuotaExperiment {
    private static final long MS = 10;
    private static final long SECOND = 1000 * MS;
    private static final long CHECK_INTERVAL = 50 * MS;

    /** Units that each gateway is entitled to. */
    private static final int UNITS_PER_GATEWAY = 8;

    /** Share of its entitlement that a gateway is guaranteed. */
    private static final double GUARANTEED_SHARE = 0.5;

    /** Share of its entitlement that each gateway consumes before the shift. */
    private static final double STEADY_DEMAND_SHARE = 0.25;

    /** Units per second that gateway 0 consumes after the shift: five times its entitlement. */
    private static final int SHIFTED_DEMAND = 40;

    /** The shift is complete when gateway 0 holds this share of what it can get. */
    private static final double SHIFT_COMPLETE_SHARE = 0.8;

    /** A shift or a takeover that takes longer is recorded with this time. */
    private static final long MAX_WAIT = 60 * SECOND;

    /**
     * The result of the runs of one fleet. Times are in milliseconds; those above a minute are recorded as a minute.
     *
     * @param subLeaseMs term of a sub-lease
     * @param loss share of datagrams that are lost
     * @param shiftP50 median time until units have followed the shift of demand
     * @param shiftP99 99th percentile of that time
     * @param takeoverP50 median time until the units of the killed gateway are available to others
     * @param takeoverP99 99th percentile of that time
     * @param bytesPerSecond bytes per second that a gateway sends
     * @param idleShare average share of the capacity that no gateway held, after the start and before the shift
     * @param violations number of times that the limit was exceeded
     */
    public record Result(
            int gateways,
            long subLeaseMs,
            double loss,
            long shiftP50,
            long shiftP99,
            long takeoverP50,
            long takeoverP99,
            double bytesPerSecond,
            double idleShare,
            int violations) {
        /** Header line of the CSV file. */
        public static final String CSV_HEADER =
                "gateways,loan_ms,loss,shift_p50_ms,shift_p99_ms,death_p50_ms,death_p99_ms,"
                        + "bytes_a_second,idle,over";

        public String csvRow() {
            return String.format(
                    Locale.ROOT,
                    "%d,%d,%.2f,%d,%d,%d,%d,%.0f,%.3f,%d",
                    gateways,
                    subLeaseMs,
                    loss,
                    shiftP50,
                    shiftP99,
                    takeoverP50,
                    takeoverP99,
                    bytesPerSecond,
                    idleShare,
                    violations);
        }
    }

    private QuotaExperiment() {}

    /** Runs the experiment once for each of a range of seeds. */
    public static Result run(int gateways, long subLeaseMs, double loss, long firstSeed, int seeds) {
        Histogram shiftTimes = new Histogram(3);
        Histogram takeoverTimes = new Histogram(3);
        double bytesPerSecond = 0;
        double idleShare = 0;
        int violations = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            QuotaAllocation allocation = new QuotaAllocation(
                    List.of(new SharedLimit("tenant", SharedLimit.Kind.RATE, UNITS_PER_GATEWAY * gateways, SECOND)),
                    gateways,
                    GUARANTEED_SHARE);
            LeaseDurations leases = new LeaseDurations(subLeaseMs * MS * 3 / 2, subLeaseMs * MS, 0.05);
            FleetModel model = new FleetModel(new Settings(allocation, leases, 0.05, loss, 0.05, 20 * MS, 2000), seed);
            SplittableRandom random = new SplittableRandom(~seed);
            model.gateways().forEach(gateway -> gateway.start(0));
            model.runUntil(2 * leases.grantorTerm(leases.partitionLease()) + 2 * leases.grantorTerm(leases.subLease()));
            long steadyFrom = model.now();
            long bytesFrom = bytesSent(model);
            double heldUnitsSum = 0;
            int checks = 0;
            for (; model.now() < steadyFrom + 5 * SECOND; checks++) {
                scheduleSteadyDemand(model, random, 1, STEADY_DEMAND_SHARE * UNITS_PER_GATEWAY);
                model.runUntil(model.now() + CHECK_INTERVAL);
                heldUnitsSum += model.heldUnits(0);
            }
            idleShare += 1 - heldUnitsSum / checks / allocation.limits().get(0).capacity();
            bytesPerSecond += (bytesSent(model) - bytesFrom) / 5.0 / gateways;
            long shiftFrom = model.now();
            int othersGuaranteedUnits = 0;
            for (int i = 1; i < gateways; i++) {
                othersGuaranteedUnits += allocation.guaranteedUnits(i, 0);
            }
            double targetUnits = SHIFT_COMPLETE_SHARE
                    * Math.min(
                            SHIFTED_DEMAND,
                            allocation.limits().get(0).capacity()
                                    - othersGuaranteedUnits
                                    - STEADY_DEMAND_SHARE * UNITS_PER_GATEWAY * (gateways - 1) / 2);
            while (model.gateway(0).heldUnits(0) < targetUnits && model.now() < shiftFrom + MAX_WAIT) {
                scheduleSteadyDemand(model, random, 1, STEADY_DEMAND_SHARE * UNITS_PER_GATEWAY);
                scheduleShiftedDemand(model, random);
                model.runUntil(model.now() + CHECK_INTERVAL);
            }
            shiftTimes.recordValue((model.now() - shiftFrom) / MS);
            int killed = 1 + random.nextInt(gateways - 1);
            long killedAt = model.now();
            model.gateway(killed).kill();
            // With two gateways there is a single acceptor, so the units of a dead gateway stay idle until it is back.
            int availableUnits = allocation.acceptorCount() == 1
                    ? allocation.entitlement(0, 0)
                    : allocation.limits().get(0).capacity() - allocation.guaranteedUnits(killed, 0);
            while (model.heldUnits(0) < availableUnits && model.now() < killedAt + MAX_WAIT) {
                model.runUntil(model.now() + CHECK_INTERVAL);
            }
            takeoverTimes.recordValue((model.now() - killedAt) / MS);
            violations += model.violations().size();
        }
        return new Result(
                gateways,
                subLeaseMs,
                loss,
                shiftTimes.getValueAtPercentile(50),
                shiftTimes.getValueAtPercentile(99),
                takeoverTimes.getValueAtPercentile(50),
                takeoverTimes.getValueAtPercentile(99),
                bytesPerSecond / seeds,
                idleShare / seeds,
                violations);
    }

    private static long bytesSent(FleetModel model) {
        return model.gateways().stream()
                .mapToLong(FleetModel.Gateway::bytesSent)
                .sum();
    }

    /**
     * Schedules random acquisitions for the next interval by all gateways from the given one on, each at the given
     * rate.
     */
    private static void scheduleSteadyDemand(
            FleetModel model, SplittableRandom random, int firstGateway, double perSecond) {
        for (int i = firstGateway; i < model.gateways().size(); i++) {
            if (random.nextDouble() < perSecond * CHECK_INTERVAL / SECOND) {
                int gateway = i;
                model.schedule(
                        model.now() + random.nextLong(CHECK_INTERVAL),
                        () -> model.gateway(gateway).tryAcquire(0, 0));
            }
        }
    }

    /** Schedules the demand of gateway 0 for the next interval. */
    private static void scheduleShiftedDemand(FleetModel model, SplittableRandom random) {
        for (int n = 0; n < SHIFTED_DEMAND * CHECK_INTERVAL / SECOND; n++) {
            model.schedule(
                    model.now() + random.nextLong(CHECK_INTERVAL),
                    () -> model.gateway(0).tryAcquire(0, 0));
        }
    }
}
