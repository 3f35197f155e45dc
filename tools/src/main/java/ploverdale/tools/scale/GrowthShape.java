package ploverdale.tools.scale;

/** The shapes in which a cost may grow with a size, in order from the flattest to the steepest. */
public enum GrowthShape {
    CONSTANT("1") {
        @Override
        public double of(double size) {
            return 0; // a constant cost consists of the base alone
        }
    },
    LOGARITHMIC("log n") {
        @Override
        public double of(double size) {
            return Math.log(size);
        }
    },
    LINEAR("n") {
        @Override
        public double of(double size) {
            return size;
        }
    },
    LINEARITHMIC("n log n") {
        @Override
        public double of(double size) {
            return size * Math.log(size);
        }
    },
    QUADRATIC("n^2") {
        @Override
        public double of(double size) {
            return size * size;
        }
    };

    private final String formula;

    GrowthShape(String formula) {
        this.formula = formula;
    }

    /** Returns the value of the shape at a size of 1 or more, without the factor and the base of a curve. */
    public abstract double of(double size);

    /** Returns the formula as it is printed in tables. */
    public String formula() {
        return formula;
    }
}
