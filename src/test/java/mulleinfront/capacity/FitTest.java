package mulleinfront.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import mulleinfront.capacity.Fit.Form;
import mulleinfront.capacity.Fit.Point;
import org.junit.jupiter.api.Test;

/** Fitting recovers the form that generated the points. */
class FitTest {
    private static List<Point> points(DoubleUnaryOperator function) {
        List<Point> all = new ArrayList<>();
        for (double x : new double[] {50, 167, 335, 670, 1340}) {
            all.add(new Point(x, function.applyAsDouble(x)));
        }
        return all;
    }

    private static void assertSelects(Form form, DoubleUnaryOperator function) {
        Fit fit = Fit.select(points(function));
        assertEquals(form, fit.form(), fit.summary());
        assertTrue(fit.maxResidual() < 1e-6, fit.summary());
        assertEquals(function.applyAsDouble(670), fit.at(670), 1e-6 * Math.abs(function.applyAsDouble(670)));
    }

    @Test
    void selectsTheGeneratingForm() {
        assertSelects(Form.CONSTANT, x -> 7);
        assertSelects(Form.AFFINE, x -> 3 + 0.5 * x);
        assertSelects(Form.AFFINE, x -> 0.5 * x);
        assertSelects(Form.N_LOG_N, x -> 2 + 0.1 * x * Math.log(x) / Math.log(2));
        assertSelects(Form.SQUARE, x -> 2 + 0.1 * x * x);
        assertSelects(Form.LOG, x -> 2 + 1.7 * Math.log(x) / Math.log(2));
        assertSelects(Form.BOUNDED, x -> Math.min(5, x / 20));
    }

    @Test
    void reportsTheLargestResidual() {
        List<Point> some = points(x -> x);
        some.set(2, new Point(335, 335 + 134));
        Fit fit = Fit.select(some);
        double residual = some.stream()
                .mapToDouble(p -> Math.abs(fit.base() + fit.slope() * p.x() - p.y()))
                .max()
                .orElseThrow();
        assertEquals(Form.AFFINE, fit.form());
        assertEquals(residual / 1340, fit.maxResidual(), 1e-9);
        assertTrue(fit.maxResidual() > 0.05, fit.summary());
    }

    @Test
    void rejectsTooFewSizesAndInvalidValues() {
        assertThrows(
                IllegalArgumentException.class, () -> Fit.select(points(x -> x).subList(0, 3)));
        assertThrows(IllegalArgumentException.class, () -> Fit.select(points(x -> Double.NaN)));
        List<Point> duplicates = new ArrayList<>(points(x -> x).subList(0, 3));
        duplicates.add(duplicates.get(2));
        assertThrows(IllegalArgumentException.class, () -> Fit.select(duplicates));
    }

    @Test
    void fittedValueIsNeverNegative() {
        Fit fit = Fit.select(points(x -> x - 200));
        assertEquals(0, fit.at(10));
    }
}
