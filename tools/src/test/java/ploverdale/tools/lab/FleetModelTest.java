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
import ploverdale.tools.lab.FleetModel.Instance;
import ploverdale.tools.lab.FleetModel.Settings;

/** Runs simulated fleets through random faults, and checks that they never exceed a shared limit. */
class FleetModelTest {
    private static final long MS = 10;
    private static final long SECOND = 1000 * MS;
    private static final long USE = 400 * MS;
    private static final LeaseDurations LEASING = new LeaseDurations(1500 * MS, 1000 * MS, 0.05);

    /** The highest share of its capacity that any run consumed of both limits. */
    private static double worst;

    private static QuotaAllocation division(int gateways) {
        return new QuotaAllocation(
                List.of(
                        new SharedLimit("tenant", SharedLimit.Kind.RATE, 60, SECOND),
                        new SharedLimit("server", SharedLimit.Kind.CONCURRENCY, 24, USE)),
                gateways,
                0.5);
    }

    private static Settings world(int gateways, LeaseDurations leaseDurations) {
        return new Settings(division(gateways), leaseDurations, 0.05, 0.05, 0.05, 30 * MS, 4000);
    }

    private static FleetModel started(Settings w, long seed) {
        FleetModel m = new FleetModel(w, seed);
        m.instances().forEach(i -> i.start(0));
        return m;
    }

    /**
     * Schedules random acquisitions by one gateway, of both limits; a unit stays in use for a random time up to {@link #USE}.
     *
     * @return the number of units acquired of each limit, updated while the simulation runs
     */
    private static int[] asks(FleetModel m, SplittableRandom random, int who, double perSecond, long from, long to) {
        int[] got = new int[2];
        for (long t = from; t < to; t += 1 + (long) (-Math.log(1 - random.nextDouble()) * SECOND / perSecond)) {
            int budget = random.nextInt(2);
            long uses = (long) (USE * random.nextDouble());
            m.at(t, () -> got[budget] += m.instance(who).spend(budget, uses) ? 1 : 0);
        }
        return got;
    }

    private static void faults(FleetModel m, SplittableRandom random, int n, long from, long to) {
        for (int f = 0; f < 6; f++) {
            long a = from + random.nextLong(to - from);
            long b = a + random.nextLong(to - a) + 1;
            int x = random.nextInt(n);
            int y = random.nextInt(n);
            switch (random.nextInt(6)) {
                case 0 -> {
                    m.at(a, () -> m.instance(x).kill());
                    m.at(b, () -> {
                        if (!m.instance(x).alive()) {
                            m.instance(x).start(random.nextBoolean() ? 0 : -60_000); // its Unix clock may have been set back
                        }
                    });
                }
                case 1 -> {
                    m.at(a, () -> m.instance(x).stop());
                    m.at(b, () -> m.instance(x).goOn());
                }
                case 2 -> {
                    m.at(a, () -> m.cut(x, y, true));
                    m.at(b, () -> m.cut(x, y, false));
                }
                case 3 -> { // a partition into two halves
                    m.at(
                            a,
                            () -> IntStream.range(0, n * n)
                                    .filter(i -> (i / n < n / 2) != (i % n < n / 2))
                                    .forEach(i -> m.cut(i / n, i % n, true)));
                    m.at(b, () -> IntStream.range(0, n * n).forEach(i -> m.cut(i / n, i % n, false)));
                }
                case 4 -> {
                    m.at(a, () -> m.loses(0.9));
                    m.at(b, () -> m.loses(0.05));
                }
                default -> {
                    m.at(
                            a,
                            () -> IntStream.range(0, n * 7 / 10)
                                    .forEach(i -> m.instance(i).kill()));
                    m.at(
                            a + 500 * MS,
                            () -> IntStream.range(0, n * 7 / 10)
                                    .filter(i -> !m.instance(i).alive())
                                    .forEach(i -> m.instance(i).start(0)));
                }
            }
        }
    }

    private static List<String> run(int n, long seed, LeaseDurations leaseDurations) {
        FleetModel m = started(world(n, leaseDurations), seed);
        SplittableRandom random = new SplittableRandom(~seed);
        for (int i = 0; i < n; i++) {
            asks(m, random, i, random.nextInt(3) == 0 ? 500 : 8, 0, 30 * SECOND);
        }
        faults(m, random, n, 6 * SECOND, 22 * SECOND);
        m.until(30 * SECOND);
        worst = Math.max(worst, Math.min(m.spending(0).worst(), m.spending(1).worst()));
        return m.violations();
    }

    @Test
    void neverIsMoreSpentThanTheWholeThroughFaultsByChance() {
        for (long seed = 1; seed <= 60; seed++) {
            int n = 2 + (int) (seed % 9);
            assertThat(run(n, seed, LEASING))
                    .as("seed %d, %d gateways", seed, n)
                    .isEmpty();
        }
        assertThat(worst).as("highest consumption as a share of the capacity").isBetween(0.75, 1.0);
    }

    /** Has one gateway borrow nearly all units and cuts it off, while all others try to acquire the units it lost. */
    private static List<String> cutOffWithAllLent(LeaseDurations leaseDurations) {
        List<String> violations = new ArrayList<>();
        for (long seed = 1; seed <= 30; seed++) {
            FleetModel m = started(new Settings(division(4), leaseDurations, 0.25, 0.05, 0.05, 30 * MS, 4000), seed);
            SplittableRandom random = new SplittableRandom(~seed);
            for (long t = 10 * SECOND; t < 24 * SECOND; t += MS) {
                for (int i = t < 16 * SECOND ? 3 : 0; i < 4; i++) {
                    int who = i;
                    m.at(t + random.nextInt(10), () -> m.instance(who).spend(1, USE));
                }
            }
            m.at(
                    16 * SECOND,
                    () -> IntStream.range(0, 3).forEach(i -> {
                        m.cut(i, 3, true);
                        m.cut(3, i, true);
                    }));
            m.until(24 * SECOND);
            violations.addAll(m.violations());
        }
        return violations;
    }

    @Test
    void aLoanIsOverForTheBorrowerBeforeItIsForTheLenderByAnyClock() {
        assertThat(cutOffWithAllLent(new LeaseDurations(4000 * MS, 3000 * MS, 0.25)))
                .isEmpty();
        assertThat(cutOffWithAllLent(new LeaseDurations(4000 * MS, 3000 * MS, 0)))
                .as("without an allowance for clock drift")
                .isNotEmpty();
    }

    @Test
    void oneWithAllTheDemandGetsMostPartsFromThoseThatAreIdle() {
        FleetModel m = started(world(10, LEASING), 3);
        SplittableRandom random = new SplittableRandom(4);
        m.until(6 * SECOND);
        int[] got = asks(m, random, 0, 160, 6 * SECOND, 16 * SECOND);
        m.until(16 * SECOND);
        assertThat(m.violations()).isEmpty();
        assertThat(got[0]).as("acquired in 10 s with an entitlement of 6 of 60 per second").isGreaterThan(250);
        assertThat(m.instance(0).parts(0)).isGreaterThan(24);
        m.until(24 * SECOND);
        assertThat(m.instance(0).parts(0))
                .as("units left after its demand ended")
                .isLessThanOrEqualTo(6);
        assertThat(m.parts(0)).isEqualTo(60);
        assertThat(m.parts(1)).isEqualTo(24);
    }

    @Test
    void partsOfTheDeadComeToTheOthersOnceTheyAreOverAndNoneIsLostForEver() {
        FleetModel m = started(world(5, LEASING), 5);
        m.until(6 * SECOND);
        assertThat(m.parts(0)).isEqualTo(60);
        m.instance(0).kill();
        assertThat(m.parts(0)).isEqualTo(48);
        m.until(7 * SECOND);
        assertThat(m.parts(0)).as("units of the dead gateway stay reserved, as it may only be partitioned").isEqualTo(48);
        m.until(18 * SECOND);
        assertThat(m.parts(0)).as("all units but those that are guaranteed to the dead gateway").isEqualTo(54);
        m.instance(0).start(0);
        m.until(30 * SECOND);
        assertThat(m.parts(0)).isEqualTo(60);
        assertThat(m.parts(1)).isEqualTo(24);
    }

    @Test
    void whoHearsNobodyFallsToItsFloorAndNeverRisesAboveIt() {
        FleetModel m = started(world(5, LEASING), 6);
        m.until(6 * SECOND);
        for (int i = 1; i < 5; i++) {
            m.cut(0, i, true);
            m.cut(i, 0, true);
        }
        asks(m, new SplittableRandom(7), 0, 200, 6 * SECOND, 20 * SECOND);
        m.until(6 * SECOND + 1600 * MS);
        for (int t = 8; t < 20; t++) {
            m.until(t * SECOND);
            assertThat(m.instance(0).parts(0)).isEqualTo(division(5).guaranteedUnits(0, 0));
        }
        m.until(30 * SECOND);
        for (int i = 1; i < 5; i++) {
            m.cut(0, i, false);
            m.cut(i, 0, false);
        }
        m.until(45 * SECOND);
        assertThat(m.parts(0)).isEqualTo(60);
    }

    @Test
    void threeHundredKnowTheDeadSoonAndNobodyElseIsTakenForDead() {
        QuotaAllocation d =
                new QuotaAllocation(List.of(new SharedLimit("tenant", SharedLimit.Kind.RATE, 900, SECOND)), 300, 0.5);
        FleetModel m = started(new Settings(d, LEASING, 0.05, 0.05, 0.05, 30 * MS, 2000), 8);
        m.until(30 * SECOND); // each gateway is pinged about twice a second, and gossip reaches all a little later
        for (Instance i : m.instances()) {
            assertThat(i.membership().presentCount()).isGreaterThan(290);
        }
        m.instance(17).kill();
        m.until(37 * SECOND); // a round of pings, the suspicion time-out, and the spread of the rumor
        long know = m.instances().stream()
                .filter(i -> i.alive() && i.membership().state(17) == MemberState.DEAD)
                .count();
        assertThat(know).isGreaterThan(295);
        m.until(60 * SECOND);
        for (int x = 0; x < 300; x++) {
            int of = x;
            long wrong = m.instances().stream()
                    .filter(i -> i.alive() && i.membership().state(of) == MemberState.DEAD)
                    .count();
            assertThat(of == 17 || wrong < 3)
                    .as("%2$d gateways wrongly regard n%1$d as dead", of, wrong)
                    .isTrue();
        }
    }

    @Test
    void aSplitHealsWithoutFlapping() {
        FleetModel m = started(world(6, LEASING), 9);
        m.until(6 * SECOND);
        for (int i = 0; i < 36; i++) {
            m.cut(i / 6, i % 6, i / 6 < 3 != i % 6 < 3);
        }
        m.until(20 * SECOND);
        assertThat(m.instance(0).membership().state(5)).isEqualTo(MemberState.DEAD);
        assertThat(m.instance(5).membership().state(0)).isEqualTo(MemberState.DEAD);
        for (int i = 0; i < 36; i++) {
            m.cut(i / 6, i % 6, false);
        }
        m.until(30 * SECOND);
        m.instances().forEach(i -> assertThat(i.membership().presentCount()).isEqualTo(6));
        m.instances().forEach(i -> i.membership().drainChanges());
        m.until(60 * SECOND);
        m.instances().forEach(i -> assertThat(i.membership().drainChanges()).isEmpty());
    }
}
