package mulleinfront.emulator;

import java.util.Arrays;

/** A histogram of times in microseconds, in buckets at most 0.8% of their value wide; exact below 128 us. */
final class Histogram {
    private static final int BITS = 7;
    private static final int PER = 1 << BITS;

    private long[] counts = new long[PER];
    private long count;
    private long most;
    private double sum;

    void add(long us) {
        long value = Math.max(0, us);
        int place = place(value);
        if (place >= counts.length) {
            counts = Arrays.copyOf(counts, place + PER);
        }
        counts[place]++;
        count++;
        sum += value;
        most = Math.max(most, value);
    }

    private static int place(long value) {
        int shift = Math.max(0, 63 - Long.numberOfLeadingZeros(Math.max(1, value)) - BITS);
        return shift == 0 ? (int) value : shift * PER + (int) (value >>> shift);
    }

    private static long low(int place) {
        if (place < 2 * PER) {
            return place;
        }
        int shift = place / PER - 1;
        return (long) (place - shift * PER) << shift;
    }

    long count() {
        return count;
    }

    long most() {
        return most;
    }

    double mean() {
        return count == 0 ? 0 : sum / count;
    }

    /**
     * The smallest value that at least this fraction of the values does not exceed, to within a bucket; -1 if there
     * are no values.
     */
    long at(double quantile) {
        long rank = (long) Math.ceil(quantile * count);
        long seen = 0;
        for (int i = 0; i < counts.length; i++) {
            seen += counts[i];
            if (counts[i] > 0 && seen >= rank) {
                return Math.min(most, low(i + 1) - 1);
            }
        }
        return -1;
    }

    /** Fraction of the values that are above the given one, to within a bucket. */
    double above(long us) {
        long seen = 0;
        for (int i = 0; i < counts.length && low(i) <= us; i++) {
            seen += counts[i];
        }
        return count == 0 ? 0 : 1 - (double) seen / count;
    }
}
