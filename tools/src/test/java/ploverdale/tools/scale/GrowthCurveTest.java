package ploverdale.tools.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks that a fit finds the shape of a cost and predicts other sizes, and that a bad fit shows in the residual. */
class GrowthCurveTest {
    private static final double[] SIZES = {100, 200, 400, 800, 1600, 3200};

    private static List<GrowthCurve.Point> points(GrowthShape shape, double base, double factor, double noise) {
        SplittableRandom random = new SplittableRandom(3);
        List<GrowthCurve.Point> all = new ArrayList<>();
        for (double n : SIZES) {
            double deviation = 1 + noise * (2 * random.nextDouble() - 1);
            all.add(new GrowthCurve.Point(n, deviation * (base + factor * shape.of(n))));
        }
        return all;
    }

    @ParameterizedTest
    @EnumSource(GrowthShape.class)
    void findsTheShapeAndPredictsTheCostAtTwiceTheLargestSize(GrowthShape shape) {
        GrowthCurve s = GrowthCurve.fit(points(shape, 10, 2, 0.005));
        assertThat(s.shape()).isEqualTo(shape);
        assertThat(s.residual()).isLessThan(0.01);
        double expected = 10 + 2 * shape.of(6400);
        assertThat(s.costAt(6400)).isCloseTo(expected, within(0.05 * expected));
    }

    @Test
    void noiseAroundAConstantIsNotTakenForGrowth() {
        assertThat(GrowthCurve.fit(points(GrowthShape.CONSTANT, 10, 0, 0.1)).shape())
                .isEqualTo(GrowthShape.CONSTANT);
    }

    @Test
    void costsThatFollowNoShapeHaveALargeResidual() {
        List<GrowthCurve.Point> jumps = new ArrayList<>(points(GrowthShape.LINEAR, 1, 1, 0));
        jumps.set(3, new GrowthCurve.Point(800, 80));
        assertThat(GrowthCurve.fit(jumps).residual()).isGreaterThan(0.2);
    }

    @Test
    void fewerThanFivePointsAreRejected() {
        assertThatThrownBy(() ->
                        GrowthCurve.fit(points(GrowthShape.LINEAR, 1, 1, 0).subList(0, 4)))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
