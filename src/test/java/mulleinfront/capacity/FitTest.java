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

/** A line through points finds the form that they were made by. */
class FitTest {
    private static List<Point> points(DoubleUnaryOperator of) {
        List<Point> all = new ArrayList<>();
        for (double x : new double[] {50, 167, 335, 670, 1340}) {
            all.add(new Point(x, of.applyAsDouble(x)));
        }
        return all;
    }

    private static void finds(Form form, DoubleUnaryOperator of) {
        Fit fit = Fit.of(points(of));
        assertEquals(form, fit.form(), fit.text());
        assertTrue(fit.worst() < 1e-6, fit.text());
        assertEquals(of.applyAsDouble(670), fit.at(670), 1e-6 * Math.abs(of.applyAsDouble(670)));
    }

    @Test
    void theFormThatPointsWereMadeByIsFound() {
        finds(Form.CONSTANT, x -> 7);
        finds(Form.AFFINE, x -> 3 + 0.5 * x);
        finds(Form.AFFINE, x -> 0.5 * x);
        finds(Form.N_LOG_N, x -> 2 + 0.1 * x * Math.log(x) / Math.log(2));
        finds(Form.SQUARE, x -> 2 + 0.1 * x * x);
        finds(Form.LOG, x -> 2 + 1.7 * Math.log(x) / Math.log(2));
        finds(Form.BOUNDED, x -> Math.min(5, x / 20));
    }

    @Test
    void howFarItIsFromTheFarthestPointIsSaid() {
        List<Point> some = points(x -> x);
        some.set(2, new Point(335, 335 + 134));
        Fit fit = Fit.of(some);
        double off = some.stream()
                .mapToDouble(p -> Math.abs(fit.base() + fit.slope() * p.x() - p.y()))
                .max()
                .orElseThrow();
        assertEquals(Form.AFFINE, fit.form());
        assertEquals(off / 1340, fit.worst(), 1e-9);
        assertTrue(fit.worst() > 0.05, fit.text());
    }

    @Test
    void whatIsNoSlopeIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> Fit.of(points(x -> x).subList(0, 3)));
        assertThrows(IllegalArgumentException.class, () -> Fit.of(points(x -> Double.NaN)));
        List<Point> thrice = new ArrayList<>(points(x -> x).subList(0, 3));
        thrice.add(thrice.get(2));
        assertThrows(IllegalArgumentException.class, () -> Fit.of(thrice));
    }

    @Test
    void aFigureIsNeverBelowNothing() {
        Fit fit = Fit.of(points(x -> x - 200));
        assertEquals(0, fit.at(10));
    }
}
