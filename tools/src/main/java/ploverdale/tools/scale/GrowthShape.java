package ploverdale.tools.scale;

/** How a cost may grow with a size, from the flattest to the steepest. */
public enum GrowthShape {
    CONSTANT("1") {
        @Override
        public double of(double size) {
            return 0; // the base of a slope is the whole of it
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

    /** The growing part at a size of 1 or more, without factor and base. */
    public abstract double of(double size);

    /** As written in tables. */
    public String formula() {
        return formula;
    }
}
