package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Accuracy of the histogram's quantiles, its mean and its share of values above a threshold. */
class HistogramTest {
    @Test
    void quantilesAreWithinABucket() {
        RandomStream chance = RandomStream.of(7, "times");
        Histogram histogram = new Histogram();
        long[] exact = new long[100_000];
        for (int i = 0; i < exact.length; i++) {
            exact[i] = (long) chance.lognormal(3_000, 3);
            histogram.add(exact[i]);
        }
        Arrays.sort(exact);
        for (double rank : new double[] {0.001, 0.1, 0.5, 0.9, 0.99, 0.999, 1}) {
            long exactQuantile = exact[(int) Math.ceil(rank * exact.length) - 1];
            assertTrue(
                    histogram.quantile(rank) >= exactQuantile
                            && histogram.quantile(rank) <= exactQuantile + exactQuantile / 128 + 1,
                    rank + ": " + histogram.quantile(rank) + " for " + exactQuantile);
        }
        assertEquals(Arrays.stream(exact).average().orElseThrow(), histogram.mean(), 1e-6);
        long above = Arrays.stream(exact).filter(v -> v > 660).count();
        assertEquals((double) above / exact.length, histogram.fractionAbove(660), 0.005);
    }

    @Test
    void smallValuesAreExactAndEmptyHistogramHasNoQuantile() {
        Histogram histogram = new Histogram();
        assertEquals(-1, histogram.quantile(0.5));
        for (long v : new long[] {0, 5, 127, 128, 255}) {
            histogram.add(v);
        }
        assertEquals(0, histogram.quantile(0.2));
        assertEquals(127, histogram.quantile(0.6));
        assertEquals(255, histogram.quantile(1));
        assertEquals(0.4, histogram.fractionAbove(127), 1e-9);
    }
}
