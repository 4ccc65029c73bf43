package mulleinfront.core;

import java.util.Locale;

/**
 * Counts by the constants of an enum. Counting allocates nothing. One thread counts; others may read figures that are a
 * moment old.
 *
 * @param <E> what is counted
 */
public final class EnumCounts<E extends Enum<E>> {
    private final E[] constants;
    private final long[] counts;

    public EnumCounts(Class<E> type) {
        this.constants = type.getEnumConstants();
        this.counts = new long[constants.length];
    }

    public void add(E what) {
        counts[what.ordinal()]++;
    }

    public long of(E what) {
        return counts[what.ordinal()];
    }

    /** Returns the sum of the counts of all constants. */
    public long total() {
        long sum = 0;
        for (long count : counts) {
            sum += count;
        }
        return sum;
    }

    /** Appends those that are not 0 as {@code prefix.constant=count}, each after a space. */
    void appendTo(StringBuilder out, String prefix) {
        for (int i = 0; i < counts.length; i++) {
            if (counts[i] > 0) {
                out.append(' ')
                        .append(prefix)
                        .append('.')
                        .append(constants[i].name().toLowerCase(Locale.ROOT))
                        .append('=')
                        .append(counts[i]);
            }
        }
    }
}
