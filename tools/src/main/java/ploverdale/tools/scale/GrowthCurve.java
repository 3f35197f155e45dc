package ploverdale.tools.scale;

import java.util.Arrays;
import java.util.List;
import org.apache.commons.math3.stat.regression.OLSMultipleLinearRegression;

/**
 * A growth curve, which gives a cost as a function of a size: base + factor x shape(size).
 *
 * @param residual root mean square of the relative errors at the fitted sizes
 */
public record GrowthCurve(GrowthShape shape, double base, double factor, double residual) {
    /** A size of at least 1, and the cost above 0 that was measured there. */
    public record Point(double size, double cost) {
        public Point {
            if (!(size >= 1 && cost > 0)) {
                throw new IllegalArgumentException(
                        "a point needs a size of at least 1 and a cost above 0, but has " + size + ", " + cost);
            }
        }
    }

    /** Smallest number of points that a curve can be fitted to. */
    public static final int MIN_POINTS = 5;

    /** A steeper shape is preferred only if its residual is below this share of the flatter shape's. */
    private static final double MAX_RESIDUAL_RATIO = 0.8;

    /** Largest relative error of a usable curve, both as residual and at a size that it was not fitted to. */
    public static final double MAX_MISS = 0.2;

    /**
     * Returns whether predictions of this curve may be used.
     *
     * @param miss relative error at a size that the curve was not fitted to
     */
    public boolean isUsable(double miss) {
        return residual <= MAX_MISS && Math.abs(miss) <= MAX_MISS;
    }

    /** Returns the cost that this curve gives for any size. */
    public double costAt(double size) {
        return base + factor * shape.of(size);
    }

    /**
     * Fits the curve with the smallest relative errors. Of two shapes that fit about equally well, the flatter one
     * is used, because the data must show that a cost grows faster.
     *
     * @throws IllegalArgumentException if there are fewer than {@link #MIN_POINTS} points
     */
    public static GrowthCurve fit(List<Point> points) {
        if (points.size() < MIN_POINTS) {
            throw new IllegalArgumentException(
                    "a fit needs at least " + MIN_POINTS + " sizes, but got " + points.size());
        }
        GrowthCurve best = constant(points);
        for (GrowthShape shape : GrowthShape.values()) {
            GrowthCurve s = shape == GrowthShape.CONSTANT ? best : fit(shape, points);
            if (s.factor > 0 && s.residual < MAX_RESIDUAL_RATIO * best.residual) {
                best = s;
            }
        }
        return best;
    }

    private static GrowthCurve constant(List<Point> points) {
        // By least squares of the relative errors, the constant is the sum of 1/y divided by the sum of 1/y^2.
        double sumOfInverses = points.stream().mapToDouble(p -> 1 / p.cost).sum();
        double sumOfInverseSquares =
                points.stream().mapToDouble(p -> 1 / (p.cost * p.cost)).sum();
        return new GrowthCurve(GrowthShape.CONSTANT, sumOfInverses / sumOfInverseSquares, 0, 0).withResidual(points);
    }

    /** Fits one shape by least squares of the relative errors, for which each row is divided by its cost. */
    private static GrowthCurve fit(GrowthShape shape, List<Point> points) {
        double[] ones = new double[points.size()];
        Arrays.fill(ones, 1);
        double[][] rows = points.stream()
                .map(p -> new double[] {1 / p.cost, shape.of(p.size) / p.cost})
                .toArray(double[][]::new);
        OLSMultipleLinearRegression regression = new OLSMultipleLinearRegression();
        regression.setNoIntercept(true);
        regression.newSampleData(ones, rows);
        double[] coefficients = regression.estimateRegressionParameters();
        return new GrowthCurve(shape, coefficients[0], coefficients[1], 0).withResidual(points);
    }

    private GrowthCurve withResidual(List<Point> points) {
        double sum = points.stream()
                .mapToDouble(p -> Math.pow(costAt(p.size) / p.cost - 1, 2))
                .sum();
        return new GrowthCurve(shape, base, factor, Math.sqrt(sum / points.size()));
    }
}
