package mulleinfront.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * A line through measured points: {@code base + slope * g(x)}, where g is what the form says.
 *
 * @param worst largest distance of a point from the line, as a part of the largest value
 */
public record Fit(Form form, double base, double slope, double worst) {
    /** Fewer sizes than this say little of how a figure grows. */
    public static final int LEAST_POINTS = 4;
    /** Values that differ by less than this part of their mean count as one at every size. */
    private static final double SAME = 0.1;
    /** A form with more to it must be nearer than this part of the simpler one's distance. */
    private static final double NEARER = 0.8;

    /** How a figure grows with the size. */
    public enum Form {
        /** It does not. */
        CONSTANT("constant"),
        /** In proportion up to a bound. */
        BOUNDED("in proportion up to a bound"),
        /** In proportion, beside a part that is always there. */
        AFFINE("affine"),
        /** With its logarithm, beside a part that is always there. */
        LOG("log n"),
        /** With n log n, beside a part that is always there. */
        N_LOG_N("n log n"),
        /** With the square, as what each of n keeps of each of n does. */
        SQUARE("square");

        private final String word;

        Form(String word) {
            this.word = word;
        }

        /** The form in words. */
        public String word() {
            return word;
        }

        private double of(double x) {
            return switch (this) {
                case CONSTANT -> 0;
                case AFFINE, BOUNDED -> x;
                case LOG -> StrictMath.log(Math.max(1, x)) / StrictMath.log(2);
                case N_LOG_N -> x * StrictMath.log(Math.max(1, x)) / StrictMath.log(2);
                case SQUARE -> x * x;
            };
        }
    }

    /** One measurement. */
    public record Point(double x, double y) {}

    /**
     * The simplest form that lies near the points.
     *
     * @throws IllegalArgumentException if there are fewer than {@link #LEAST_POINTS} sizes, or one is no
     *        number
     */
    public static Fit of(List<Point> points) {
        if (points.stream().mapToDouble(Point::x).distinct().count() < LEAST_POINTS) {
            throw new IllegalArgumentException("a slope needs " + LEAST_POINTS + " sizes or more");
        }
        if (points.stream().anyMatch(p -> !Double.isFinite(p.y) || !Double.isFinite(p.x) || p.x <= 0)) {
            throw new IllegalArgumentException("a slope needs sizes above 0 and figures that are numbers");
        }
        double mean = points.stream().mapToDouble(Point::y).average().orElseThrow();
        double low = points.stream().mapToDouble(Point::y).min().orElseThrow();
        double high = points.stream().mapToDouble(Point::y).max().orElseThrow();
        Fit best = through(points, Form.CONSTANT);
        if (high - low <= SAME * Math.abs(mean)) {
            return best;
        }
        for (Form form : List.of(Form.AFFINE, Form.LOG, Form.BOUNDED, Form.N_LOG_N, Form.SQUARE)) {
            Fit next = form == Form.BOUNDED ? bounded(points) : through(points, form);
            best = next.worst < NEARER * best.worst ? next : best;
        }
        return best;
    }

    /** What grows in proportion until it meets a bound, at which two sizes or more stand. */
    private static Fit bounded(List<Point> points) {
        List<Point> sorted =
                points.stream().sorted(Comparator.comparingDouble(Point::x)).toList();
        double most = points.stream().mapToDouble(Point::y).max().orElseThrow();
        Fit best = null;
        for (int below = 1; below <= sorted.size() - 2; below++) {
            double bound =
                    sorted.stream().skip(below).mapToDouble(Point::y).average().orElseThrow();
            double slope = sorted.stream()
                    .limit(below)
                    .mapToDouble(p -> p.y / p.x)
                    .average()
                    .orElseThrow();
            Fit fit = new Fit(Form.BOUNDED, bound, slope, 0);
            double off = points.stream()
                            .mapToDouble(p -> Math.abs(fit.at(p.x) - p.y))
                            .max()
                            .orElseThrow()
                    / most;
            best = best == null || off < best.worst ? new Fit(Form.BOUNDED, bound, slope, off) : best;
        }
        return best;
    }

    /** Least squares of one form. */
    static Fit through(List<Point> points, Form form) {
        double n = points.size();
        double sx = 0;
        double sy = 0;
        double sxx = 0;
        double sxy = 0;
        double most = 0;
        for (Point p : points) {
            double g = form.of(p.x);
            sx += g;
            sy += p.y;
            sxx += g * g;
            sxy += g * p.y;
            most = Math.max(most, Math.abs(p.y));
        }
        double spread = n * sxx - sx * sx;
        double slope = spread == 0 ? 0 : (n * sxy - sx * sy) / spread;
        double base = (sy - slope * sx) / n;
        double off = 0;
        for (Point p : points) {
            off = Math.max(off, Math.abs(base + slope * form.of(p.x) - p.y));
        }
        return new Fit(form, base, slope, most == 0 ? 0 : off / most);
    }

    /** The figure at a size; never below nothing. */
    public double at(double x) {
        return form == Form.BOUNDED ? Math.min(base, slope * x) : Math.max(0, base + slope * form.of(x));
    }

    /** In one line: the form, its two numbers and how far the farthest point is. */
    public String text() {
        String line = form == Form.CONSTANT
                ? ""
                : form == Form.BOUNDED
                        ? ", " + Page.number(slope) + " x n, " + Page.number(base) + " at most"
                        : String.format(
                                Locale.ROOT,
                                ", %s + %s x %s",
                                Page.number(base),
                                Page.number(slope),
                                form == Form.AFFINE ? "n" : form.word());
        return form.word() + line + String.format(Locale.ROOT, "; worst point %.0f%% off", 100 * worst);
    }
}
