package ploverdale.tools.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ploverdale.tools.scale.RouterLoad.Condition;
import ploverdale.tools.scale.RouterLoad.Cost;

/**
 * A short form of the measurement by {@link RouterScale}: checks how allocated bytes and events grow with the number of
 * servers. It checks counts only, not CPU time.
 */
class RouterLoadTest {
    private static final double SECONDS = 4;
    private static final double READS = 50;
    private static final int[] SIZES = {60, 120, 240, 480, 960};

    private static Cost cost(int servers, Condition condition) {
        return RouterLoad.measure(servers, READS, condition, SECONDS, 1);
    }

    @Test
    void allReadsAreServedIfAllServersRespond() {
        Cost c = cost(60, Condition.SERVING);
        assertThat(c.served()).isEqualTo(READS);
        assertThat(c.rejected()).isZero();
    }

    @Test
    void mostReadsAreServedIfAZoneIsLost() {
        Cost c = cost(168, Condition.ZONE_LOST);
        assertThat(c.served()).isGreaterThan(0.9 * READS);
    }

    @Test
    void allocationGrowsAtMostLinearlyWithTheServers() {
        List<GrowthCurve.Point> points = new ArrayList<>();
        cost(SIZES[0], Condition.SERVING); // not counted: loads the classes
        for (int n : SIZES) {
            points.add(new GrowthCurve.Point(n, cost(n, Condition.SERVING).allocatedBytes()));
        }
        GrowthCurve s = GrowthCurve.fit(points);
        assertThat(s.shape()).as(s + " through " + points).isLessThanOrEqualTo(GrowthShape.LINEAR);
        assertThat(s.residual()).as(s + " through " + points).isLessThan(GrowthCurve.MAX_MISS);
    }

    @Test
    void eventsGrowAtMostLinearlyWithTheServers() {
        List<GrowthCurve.Point> points = new ArrayList<>();
        for (int n : SIZES) {
            points.add(new GrowthCurve.Point(n, cost(n, Condition.SERVING).events()));
        }
        assertThat(GrowthCurve.fit(points).shape()).as(points::toString).isLessThanOrEqualTo(GrowthShape.LINEAR);
    }
}
