package mulleinfront.emulator;

import java.util.Arrays;

/** A histogram of times in microseconds, in buckets at most 0.8% of their value wide; exact below 128 us. */
final class Histogram {
    private static final int PRECISION_BITS = 7;
    private static final int BUCKETS_PER_OCTAVE = 1 << PRECISION_BITS;

    private long[] counts = new long[BUCKETS_PER_OCTAVE];
    private long count;
    private long max;
    private double sum;

    void add(long us) {
        long value = Math.max(0, us);
        int bucket = bucketOf(value);
        if (bucket >= counts.length) {
            counts = Arrays.copyOf(counts, bucket + BUCKETS_PER_OCTAVE);
        }
        counts[bucket]++;
        count++;
        sum += value;
        max = Math.max(max, value);
    }

    private static int bucketOf(long value) {
        int shift = Math.max(0, 63 - Long.numberOfLeadingZeros(Math.max(1, value)) - PRECISION_BITS);
        return shift == 0 ? (int) value : shift * BUCKETS_PER_OCTAVE + (int) (value >>> shift);
    }

    private static long lowerBound(int bucket) {
        if (bucket < 2 * BUCKETS_PER_OCTAVE) {
            return bucket;
        }
        int shift = bucket / BUCKETS_PER_OCTAVE - 1;
        return (long) (bucket - shift * BUCKETS_PER_OCTAVE) << shift;
    }

    long count() {
        return count;
    }

    long max() {
        return max;
    }

    double mean() {
        return count == 0 ? 0 : sum / count;
    }

    /**
     * The smallest value that at least this fraction of the values does not exceed, to within a bucket; -1 if there
     * are no values.
     */
    long quantile(double fraction) {
        long rank = (long) Math.ceil(fraction * count);
        long seen = 0;
        for (int i = 0; i < counts.length; i++) {
            seen += counts[i];
            if (counts[i] > 0 && seen >= rank) {
                return Math.min(max, lowerBound(i + 1) - 1);
            }
        }
        return -1;
    }

    /** Fraction of the values that are above the given one, to within a bucket. */
    double fractionAbove(long us) {
        long seen = 0;
        for (int i = 0; i < counts.length && lowerBound(i) <= us; i++) {
            seen += counts[i];
        }
        return count == 0 ? 0 : 1 - (double) seen / count;
    }
}
