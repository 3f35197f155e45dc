package ploverdale.tools.scale;

import java.util.Arrays;
import java.util.List;
import org.apache.commons.math3.stat.regression.OLSMultipleLinearRegression;

/**
 * A cost as a function of a size: base + factor x shape(size).
 *
 * @param residual the root of the mean square of the relative errors at the fitted sizes
 */
public record Slope(GrowthShape shape, double base, double factor, double residual) {
    /** One size and the cost measured there; both above zero. */
    public record Point(double size, double cost) {
        public Point {
            if (!(size >= 1 && cost > 0)) {
                throw new IllegalArgumentException(
                        "a size from 1 and a cost above 0 are wanted, not " + size + ", " + cost);
            }
        }
    }

    /** Sizes that a fit takes at the least. */
    public static final int LEAST_POINTS = 5;

    private static final double CLEARLY_BETTER =
            0.8; // a steeper shape must bring the residual under this part of a flatter one's

    /** By how much a slope may miss, at the sizes it was fitted to and at one that it was not, as a share. */
    public static final double MISSES_MOST = 0.2;

    /** Whether it may be used: it follows its points, and missed a size that it was not fitted to by this share. */
    public boolean isUsable(double miss) {
        return residual <= MISSES_MOST && Math.abs(miss) <= MISSES_MOST;
    }

    /** The cost at a size, whether it was fitted there or not. */
    public double at(double size) {
        return base + factor * shape.of(size);
    }

    /**
     * The shape that the points follow most closely by relative error; of two that are about as close the flatter one, since a
     * steeper one has to be shown.
     */
    public static Slope fit(List<Point> points) {
        if (points.size() < LEAST_POINTS) {
            throw new IllegalArgumentException("a fit takes " + LEAST_POINTS + " sizes, not " + points.size());
        }
        Slope best = constant(points);
        for (GrowthShape shape : GrowthShape.values()) {
            Slope s = shape == GrowthShape.CONSTANT ? best : fit(shape, points);
            if (s.factor > 0 && s.residual < CLEARLY_BETTER * best.residual) {
                best = s;
            }
        }
        return best;
    }

    private static Slope constant(List<Point> points) {
        // The constant with the least relative errors: the sum of 1/y over the sum of 1/y^2.
        double inverses = points.stream().mapToDouble(p -> 1 / p.cost).sum();
        double squares = points.stream().mapToDouble(p -> 1 / (p.cost * p.cost)).sum();
        return new Slope(GrowthShape.CONSTANT, inverses / squares, 0, 0).withResidual(points);
    }

    /** Least squares of the relative errors: each row is divided by its cost. */
    private static Slope fit(GrowthShape shape, List<Point> points) {
        double[] ones = new double[points.size()];
        Arrays.fill(ones, 1);
        double[][] rows = points.stream()
                .map(p -> new double[] {1 / p.cost, shape.of(p.size) / p.cost})
                .toArray(double[][]::new);
        OLSMultipleLinearRegression regression = new OLSMultipleLinearRegression();
        regression.setNoIntercept(true);
        regression.newSampleData(ones, rows);
        double[] found = regression.estimateRegressionParameters();
        return new Slope(shape, found[0], found[1], 0).withResidual(points);
    }

    private Slope withResidual(List<Point> points) {
        double sum = points.stream()
                .mapToDouble(p -> Math.pow(at(p.size) / p.cost - 1, 2))
                .sum();
        return new Slope(shape, base, factor, Math.sqrt(sum / points.size()));
    }
}
