package ploverdale.tools.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import ploverdale.membership.MemberState;
import ploverdale.quota.LeaseDurations;
import ploverdale.quota.QuotaAllocation;
import ploverdale.quota.SharedLimit;
import ploverdale.tools.lab.FleetModel.Gateway;
import ploverdale.tools.lab.FleetModel.Settings;

/** Runs simulated fleets through random faults, and checks that they never exceed a shared limit. */
class FleetModelTest {
    private static final long MS = 10;
    private static final long SECOND = 1000 * MS;
    private static final long MAX_HOLD_TIME = 400 * MS;
    private static final LeaseDurations LEASE_DURATIONS = new LeaseDurations(1500 * MS, 1000 * MS, 0.05);

    /** The highest share of its capacity that any run consumed of both limits. */
    private static double peakConsumption;

    private static QuotaAllocation allocation(int gateways) {
        return new QuotaAllocation(
                List.of(
                        new SharedLimit("tenant", SharedLimit.Kind.RATE, 60, SECOND),
                        new SharedLimit("server", SharedLimit.Kind.CONCURRENCY, 24, MAX_HOLD_TIME)),
                gateways,
                0.5);
    }

    private static Settings settings(int gateways, LeaseDurations leaseDurations) {
        return new Settings(allocation(gateways), leaseDurations, 0.05, 0.05, 0.05, 30 * MS, 4000);
    }

    private static FleetModel started(Settings settings, long seed) {
        FleetModel model = new FleetModel(settings, seed);
        model.gateways().forEach(i -> i.start(0));
        return model;
    }

    /**
     * Schedules random acquisitions by one gateway, of both limits; a unit stays in use for a random time up to
     * {@link #MAX_HOLD_TIME}.
     *
     * @return the number of units acquired of each limit, updated while the simulation runs
     */
    private static int[] scheduleAcquisitions(
            FleetModel model, SplittableRandom random, int gateway, double perSecond, long from, long to) {
        int[] acquired = new int[2];
        for (long t = from; t < to; t += 1 + (long) (-Math.log(1 - random.nextDouble()) * SECOND / perSecond)) {
            int limit = random.nextInt(2);
            long holdTime = (long) (MAX_HOLD_TIME * random.nextDouble());
            model.schedule(t, () -> acquired[limit] += model.gateway(gateway).tryAcquire(limit, holdTime) ? 1 : 0);
        }
        return acquired;
    }

    private static void scheduleRandomFaults(
            FleetModel model, SplittableRandom random, int gateways, long from, long to) {
        for (int f = 0; f < 6; f++) {
            long faultStart = from + random.nextLong(to - from);
            long faultEnd = faultStart + random.nextLong(to - faultStart) + 1;
            int gateway = random.nextInt(gateways);
            int peer = random.nextInt(gateways);
            switch (random.nextInt(6)) {
                case 0 -> {
                    model.schedule(faultStart, () -> model.gateway(gateway).kill());
                    model.schedule(faultEnd, () -> {
                        if (!model.gateway(gateway).isAlive()) {
                            // The Unix clock may have been set back.
                            model.gateway(gateway).start(random.nextBoolean() ? 0 : -60_000);
                        }
                    });
                }
                case 1 -> {
                    model.schedule(faultStart, () -> model.gateway(gateway).pause());
                    model.schedule(faultEnd, () -> model.gateway(gateway).resume());
                }
                case 2 -> {
                    model.schedule(faultStart, () -> model.setBlocked(gateway, peer, true));
                    model.schedule(faultEnd, () -> model.setBlocked(gateway, peer, false));
                }
                case 3 -> { // a partition into two halves
                    model.schedule(
                            faultStart,
                            () -> IntStream.range(0, gateways * gateways)
                                    .filter(i -> (i / gateways < gateways / 2) != (i % gateways < gateways / 2))
                                    .forEach(i -> model.setBlocked(i / gateways, i % gateways, true)));
                    model.schedule(
                            faultEnd,
                            () -> IntStream.range(0, gateways * gateways)
                                    .forEach(i -> model.setBlocked(i / gateways, i % gateways, false)));
                }
                case 4 -> {
                    model.schedule(faultStart, () -> model.setLoss(0.9));
                    model.schedule(faultEnd, () -> model.setLoss(0.05));
                }
                default -> {
                    model.schedule(
                            faultStart,
                            () -> IntStream.range(0, gateways * 7 / 10)
                                    .forEach(i -> model.gateway(i).kill()));
                    model.schedule(
                            faultStart + 500 * MS,
                            () -> IntStream.range(0, gateways * 7 / 10)
                                    .filter(i -> !model.gateway(i).isAlive())
                                    .forEach(i -> model.gateway(i).start(0)));
                }
            }
        }
    }

    private static List<String> run(int gateways, long seed, LeaseDurations leaseDurations) {
        FleetModel model = started(settings(gateways, leaseDurations), seed);
        SplittableRandom random = new SplittableRandom(~seed);
        for (int i = 0; i < gateways; i++) {
            scheduleAcquisitions(model, random, i, random.nextInt(3) == 0 ? 500 : 8, 0, 30 * SECOND);
        }
        scheduleRandomFaults(model, random, gateways, 6 * SECOND, 22 * SECOND);
        model.runUntil(30 * SECOND);
        peakConsumption = Math.max(
                peakConsumption,
                Math.min(model.consumption(0).peakShare(), model.consumption(1).peakShare()));
        return model.violations();
    }

    @Test
    void consumptionNeverExceedsTheCapacityUnderRandomFaults() {
        for (long seed = 1; seed <= 60; seed++) {
            int gateways = 2 + (int) (seed % 9);
            assertThat(run(gateways, seed, LEASE_DURATIONS))
                    .as("seed %d, %d gateways", seed, gateways)
                    .isEmpty();
        }
        assertThat(peakConsumption)
                .as("highest consumption as a share of the capacity")
                .isBetween(0.75, 1.0);
    }

    /** Has one gateway borrow nearly all units and cuts it off, while all others try to acquire the units it lost. */
    private static List<String> violationsAfterIsolatingTheBorrower(LeaseDurations leaseDurations) {
        List<String> violations = new ArrayList<>();
        for (long seed = 1; seed <= 30; seed++) {
            FleetModel model =
                    started(new Settings(allocation(4), leaseDurations, 0.25, 0.05, 0.05, 30 * MS, 4000), seed);
            SplittableRandom random = new SplittableRandom(~seed);
            for (long t = 10 * SECOND; t < 24 * SECOND; t += MS) {
                for (int i = t < 16 * SECOND ? 3 : 0; i < 4; i++) {
                    int gateway = i;
                    model.schedule(
                            t + random.nextInt(10), () -> model.gateway(gateway).tryAcquire(1, MAX_HOLD_TIME));
                }
            }
            model.schedule(
                    16 * SECOND,
                    () -> IntStream.range(0, 3).forEach(i -> {
                        model.setBlocked(i, 3, true);
                        model.setBlocked(3, i, true);
                    }));
            model.runUntil(24 * SECOND);
            violations.addAll(model.violations());
        }
        return violations;
    }

    @Test
    void subLeaseExpiresAtTheBorrowerFirstDespiteClockDrift() {
        assertThat(violationsAfterIsolatingTheBorrower(new LeaseDurations(4000 * MS, 3000 * MS, 0.25)))
                .isEmpty();
        assertThat(violationsAfterIsolatingTheBorrower(new LeaseDurations(4000 * MS, 3000 * MS, 0)))
                .as("without an allowance for clock drift")
                .isNotEmpty();
    }

    @Test
    void gatewayWithAllDemandBorrowsIdleUnits() {
        FleetModel model = started(settings(10, LEASE_DURATIONS), 3);
        SplittableRandom random = new SplittableRandom(4);
        model.runUntil(6 * SECOND);
        int[] acquired = scheduleAcquisitions(model, random, 0, 160, 6 * SECOND, 16 * SECOND);
        model.runUntil(16 * SECOND);
        assertThat(model.violations()).isEmpty();
        assertThat(acquired[0])
                .as("acquired in 10 s with an entitlement of 6 of 60 per second")
                .isGreaterThan(250);
        assertThat(model.gateway(0).heldUnits(0)).isGreaterThan(24);
        model.runUntil(24 * SECOND);
        assertThat(model.gateway(0).heldUnits(0))
                .as("units left after its demand ended")
                .isLessThanOrEqualTo(6);
        assertThat(model.heldUnits(0)).isEqualTo(60);
        assertThat(model.heldUnits(1)).isEqualTo(24);
    }

    @Test
    void unitsOfADeadGatewayPassToOthersAfterExpiryAndReturnOnRestart() {
        FleetModel model = started(settings(5, LEASE_DURATIONS), 5);
        model.runUntil(6 * SECOND);
        assertThat(model.heldUnits(0)).isEqualTo(60);
        model.gateway(0).kill();
        assertThat(model.heldUnits(0)).isEqualTo(48);
        model.runUntil(7 * SECOND);
        assertThat(model.heldUnits(0))
                .as("units of the dead gateway stay reserved, as it may only be partitioned")
                .isEqualTo(48);
        model.runUntil(18 * SECOND);
        assertThat(model.heldUnits(0))
                .as("all units but those that are guaranteed to the dead gateway")
                .isEqualTo(54);
        model.gateway(0).start(0);
        model.runUntil(30 * SECOND);
        assertThat(model.heldUnits(0)).isEqualTo(60);
        assertThat(model.heldUnits(1)).isEqualTo(24);
    }

    @Test
    void isolatedGatewayKeepsOnlyItsGuaranteedUnits() {
        FleetModel model = started(settings(5, LEASE_DURATIONS), 6);
        model.runUntil(6 * SECOND);
        for (int i = 1; i < 5; i++) {
            model.setBlocked(0, i, true);
            model.setBlocked(i, 0, true);
        }
        scheduleAcquisitions(model, new SplittableRandom(7), 0, 200, 6 * SECOND, 20 * SECOND);
        model.runUntil(6 * SECOND + 1600 * MS);
        for (int t = 8; t < 20; t++) {
            model.runUntil(t * SECOND);
            assertThat(model.gateway(0).heldUnits(0)).isEqualTo(allocation(5).guaranteedUnits(0, 0));
        }
        model.runUntil(30 * SECOND);
        for (int i = 1; i < 5; i++) {
            model.setBlocked(0, i, false);
            model.setBlocked(i, 0, false);
        }
        model.runUntil(45 * SECOND);
        assertThat(model.heldUnits(0)).isEqualTo(60);
    }

    @Test
    void fleetOf300DetectsADeadGatewayWithoutFalseDetections() {
        QuotaAllocation allocation =
                new QuotaAllocation(List.of(new SharedLimit("tenant", SharedLimit.Kind.RATE, 900, SECOND)), 300, 0.5);
        FleetModel model = started(new Settings(allocation, LEASE_DURATIONS, 0.05, 0.05, 0.05, 30 * MS, 2000), 8);
        // Each gateway is pinged about twice a second, and gossip reaches all a little later.
        model.runUntil(30 * SECOND);
        for (Gateway gateway : model.gateways()) {
            assertThat(gateway.membership().presentCount()).isGreaterThan(290);
        }
        model.gateway(17).kill();
        // A round of pings, further pings by a few other gateways, and the spread of the rumor.
        model.runUntil(37 * SECOND);
        long detections = model.gateways().stream()
                .filter(i -> i.isAlive() && i.membership().state(17) == MemberState.DEAD)
                .count();
        assertThat(detections).isGreaterThan(295);
        model.runUntil(60 * SECOND);
        for (int number = 0; number < 300; number++) {
            int member = number;
            long falseDetections = model.gateways().stream()
                    .filter(i -> i.isAlive() && i.membership().state(member) == MemberState.DEAD)
                    .count();
            assertThat(member == 17 || falseDetections < 3)
                    .as("%2$d gateways wrongly regard n%1$d as dead", member, falseDetections)
                    .isTrue();
        }
    }

    @Test
    void membershipConvergesWithoutFlappingAfterAPartition() {
        FleetModel model = started(settings(6, LEASE_DURATIONS), 9);
        model.runUntil(6 * SECOND);
        for (int i = 0; i < 36; i++) {
            model.setBlocked(i / 6, i % 6, i / 6 < 3 != i % 6 < 3);
        }
        model.runUntil(20 * SECOND);
        assertThat(model.gateway(0).membership().state(5)).isEqualTo(MemberState.DEAD);
        assertThat(model.gateway(5).membership().state(0)).isEqualTo(MemberState.DEAD);
        for (int i = 0; i < 36; i++) {
            model.setBlocked(i / 6, i % 6, false);
        }
        model.runUntil(30 * SECOND);
        model.gateways().forEach(i -> assertThat(i.membership().presentCount()).isEqualTo(6));
        model.gateways().forEach(i -> i.membership().drainChanges());
        model.runUntil(60 * SECOND);
        model.gateways().forEach(i -> assertThat(i.membership().drainChanges()).isEmpty());
    }
}
