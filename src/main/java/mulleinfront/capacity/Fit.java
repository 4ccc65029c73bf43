package mulleinfront.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * A curve fitted to measured points: {@code base + slope * g(x)}, where the form determines g; {@code BOUNDED} is
 * {@code min(base, slope * x)}.
 *
 * @param form form of the curve
 * @param base constant part; the bound of {@code BOUNDED}
 * @param slope factor of the growing part
 * @param maxResidual largest distance of a point from the curve, relative to the largest value
 */
public record Fit(Form form, double base, double slope, double maxResidual) {
    /** Minimum number of distinct sizes; fewer do not show how a value grows. */
    public static final int MIN_SIZES = 4;
    /** Values whose spread is at most this share of their mean count as constant. */
    private static final double CONSTANT_TOLERANCE = 0.1;
    /** A more complex form is chosen only if its residual is below this share of the simpler form's residual. */
    private static final double REQUIRED_IMPROVEMENT = 0.8;

    /** How a value grows with the size. */
    public enum Form {
        /** Does not grow. */
        CONSTANT("constant"),
        /** Proportional up to a bound. */
        BOUNDED("in proportion up to a bound"),
        /** Linear with a constant part. */
        AFFINE("affine"),
        /** Logarithmic with a constant part. */
        LOG("log n"),
        /** Proportional to n log n, with a constant part. */
        N_LOG_N("n log n"),
        /** Quadratic with a constant part, as state that each of n processes keeps about each of n. */
        SQUARE("square");

        private final String outputName;

        Form(String outputName) {
            this.outputName = outputName;
        }

        /** Returns the name of the form in reports. */
        public String outputName() {
            return outputName;
        }

        private double growth(double size) {
            return switch (this) {
                case CONSTANT -> 0;
                case AFFINE, BOUNDED -> size;
                case LOG -> StrictMath.log(Math.max(1, size)) / StrictMath.log(2);
                case N_LOG_N -> size * StrictMath.log(Math.max(1, size)) / StrictMath.log(2);
                case SQUARE -> size * size;
            };
        }
    }

    /**
     * One measurement.
     *
     * @param x the size
     * @param y the measured value
     */
    public record Point(double x, double y) {}

    /**
     * Returns the fit of the simplest form that is close to the points.
     *
     * @throws IllegalArgumentException if there are fewer than {@link #MIN_SIZES} distinct sizes, a size is not
     *        above 0, or a size or value is not a finite number
     */
    public static Fit select(List<Point> points) {
        if (points.stream().mapToDouble(Point::x).distinct().count() < MIN_SIZES) {
            throw new IllegalArgumentException("a slope needs " + MIN_SIZES + " sizes or more");
        }
        if (points.stream().anyMatch(p -> !Double.isFinite(p.y) || !Double.isFinite(p.x) || p.x <= 0)) {
            throw new IllegalArgumentException("a slope needs sizes above 0 and finite values");
        }
        double mean = points.stream().mapToDouble(Point::y).average().orElseThrow();
        double low = points.stream().mapToDouble(Point::y).min().orElseThrow();
        double high = points.stream().mapToDouble(Point::y).max().orElseThrow();
        Fit best = leastSquares(points, Form.CONSTANT);
        if (high - low <= CONSTANT_TOLERANCE * Math.abs(mean)) {
            return best;
        }
        for (Form form : List.of(Form.AFFINE, Form.LOG, Form.BOUNDED, Form.N_LOG_N, Form.SQUARE)) {
            Fit candidate = form == Form.BOUNDED ? fitBounded(points) : leastSquares(points, form);
            best = candidate.maxResidual < REQUIRED_IMPROVEMENT * best.maxResidual ? candidate : best;
        }
        return best;
    }

    /** Fits proportional growth up to a bound; at least the two largest points are at the bound. */
    private static Fit fitBounded(List<Point> points) {
        List<Point> sorted =
                points.stream().sorted(Comparator.comparingDouble(Point::x)).toList();
        double maxValue = points.stream().mapToDouble(Point::y).max().orElseThrow();
        Fit best = null;
        for (int growing = 1; growing <= sorted.size() - 2; growing++) {
            double bound = sorted.stream()
                    .skip(growing)
                    .mapToDouble(Point::y)
                    .average()
                    .orElseThrow();
            double slope = sorted.stream()
                    .limit(growing)
                    .mapToDouble(p -> p.y / p.x)
                    .average()
                    .orElseThrow();
            Fit fit = new Fit(Form.BOUNDED, bound, slope, 0);
            double residual = points.stream()
                            .mapToDouble(p -> Math.abs(fit.at(p.x) - p.y))
                            .max()
                            .orElseThrow()
                    / maxValue;
            best = best == null || residual < best.maxResidual ? new Fit(Form.BOUNDED, bound, slope, residual) : best;
        }
        return best;
    }

    /** Fits one form by least squares. */
    static Fit leastSquares(List<Point> points, Form form) {
        double count = points.size();
        double sumX = 0;
        double sumY = 0;
        double sumXX = 0;
        double sumXY = 0;
        double maxValue = 0;
        for (Point point : points) {
            double x = form.growth(point.x);
            sumX += x;
            sumY += point.y;
            sumXX += x * x;
            sumXY += x * point.y;
            maxValue = Math.max(maxValue, Math.abs(point.y));
        }
        double spread = count * sumXX - sumX * sumX;
        double slope = spread == 0 ? 0 : (count * sumXY - sumX * sumY) / spread;
        double base = (sumY - slope * sumX) / count;
        double residual = 0;
        for (Point point : points) {
            residual = Math.max(residual, Math.abs(base + slope * form.growth(point.x) - point.y));
        }
        return new Fit(form, base, slope, maxValue == 0 ? 0 : residual / maxValue);
    }

    /** Returns the fitted value at a size; never negative. */
    public double at(double size) {
        return form == Form.BOUNDED ? Math.min(base, slope * size) : Math.max(0, base + slope * form.growth(size));
    }

    /** Returns a one-line description: the form, its coefficients and the largest residual. */
    public String summary() {
        String coefficients = form == Form.CONSTANT
                ? ""
                : form == Form.BOUNDED
                        ? ", " + Page.number(slope) + " x n, " + Page.number(base) + " at most"
                        : String.format(
                                Locale.ROOT,
                                ", %s + %s x %s",
                                Page.number(base),
                                Page.number(slope),
                                form == Form.AFFINE ? "n" : form.outputName());
        return form.outputName()
                + coefficients
                + String.format(Locale.ROOT, "; worst point %.0f%% off", 100 * maxResidual);
    }
}
