package mulleinfront.emulator;

import java.util.SplittableRandom;

/**
 * A random stream of a simulation. Each concern draws from a stream of its own name under the simulation's seed, so
 * that an additional fault or a missing server does not shift the draws of other concerns. Logarithms are those of
 * {@link StrictMath}, which give the same bits on every machine.
 */
public final class RandomStream {
    private final SplittableRandom random;

    private RandomStream(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** The stream of a name under a seed. */
    public static RandomStream of(long seed, String name) {
        long hash = 0xcbf29ce484222325L ^ seed * 0x9e3779b97f4a7c15L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        return new RandomStream(mix(hash));
    }

    private static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    public long nextLong() {
        return random.nextLong();
    }

    /** A uniform value in [0, 1). */
    public double uniform() {
        return random.nextDouble();
    }

    public boolean happens(double probability) {
        return probability > 0 && (probability >= 1 || random.nextDouble() < probability);
    }

    /** A uniform value in [0, bound). */
    public int uniformBelow(int bound) {
        return random.nextInt(bound);
    }

    public double uniformBetween(double low, double high) {
        return low + (high - low) * random.nextDouble();
    }

    public double exponential(double mean) {
        return -mean * StrictMath.log(1 - random.nextDouble());
    }

    public double normal() {
        double u = 1 - random.nextDouble();
        return StrictMath.sqrt(-2 * StrictMath.log(u)) * StrictMath.cos(2 * Math.PI * random.nextDouble());
    }

    /** A log-normal value with the given mean and coefficient of variation. */
    public double lognormal(double mean, double cv) {
        double variance = StrictMath.log(1 + cv * cv);
        return mean * StrictMath.exp(StrictMath.sqrt(variance) * normal() - variance / 2);
    }

    /**
     * An index drawn by weight.
     *
     * @param summed cumulative weights; the last is their sum
     */
    public int weightedIndex(double[] summed) {
        double at = random.nextDouble() * summed[summed.length - 1];
        int low = 0;
        int high = summed.length - 1;
        while (low < high) {
            int mid = low + high >>> 1;
            if (summed[mid] > at) {
                high = mid;
            } else {
                low = mid + 1;
            }
        }
        return low;
    }

    /** Cumulative weights for {@link #weightedIndex}. */
    public static double[] cumulative(double[] weights) {
        double[] summed = weights.clone();
        for (int i = 1; i < summed.length; i++) {
            summed[i] += summed[i - 1];
        }
        return summed;
    }

    /** Weights of the ranks 1 to n by Zipf's law: rank k has 1 / k^exponent. */
    public static double[] zipfWeights(int ranks, double exponent) {
        double[] weights = new double[ranks];
        for (int rank = 0; rank < ranks; rank++) {
            weights[rank] = StrictMath.pow(rank + 1, -exponent);
        }
        return weights;
    }
}
