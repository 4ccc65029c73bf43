package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Accuracy of the histogram's quantiles, of its mean and of its share above a value. */
class HistogramTest {
    @Test
    void quantilesAreWithinABucket() {
        Chance chance = Chance.of(7, "times");
        Histogram h = new Histogram();
        long[] exact = new long[100_000];
        for (int i = 0; i < exact.length; i++) {
            exact[i] = (long) chance.lognormal(3_000, 3);
            h.add(exact[i]);
        }
        Arrays.sort(exact);
        for (double q : new double[] {0.001, 0.1, 0.5, 0.9, 0.99, 0.999, 1}) {
            long is = exact[(int) Math.ceil(q * exact.length) - 1];
            assertTrue(h.at(q) >= is && h.at(q) <= is + is / 128 + 1, q + ": " + h.at(q) + " for " + is);
        }
        assertEquals(Arrays.stream(exact).average().orElseThrow(), h.mean(), 1e-6);
        long above = Arrays.stream(exact).filter(v -> v > 660).count();
        assertEquals((double) above / exact.length, h.above(660), 0.005);
    }

    @Test
    void smallValuesAreExactAndNothingIsNothing() {
        Histogram h = new Histogram();
        assertEquals(-1, h.at(0.5));
        for (long v : new long[] {0, 5, 127, 128, 255}) {
            h.add(v);
        }
        assertEquals(0, h.at(0.2));
        assertEquals(127, h.at(0.6));
        assertEquals(255, h.at(1));
        assertEquals(0.4, h.above(127), 1e-9);
    }
}
