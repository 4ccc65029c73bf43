package mulleinfront.core;

import java.util.Locale;

/**
 * One counter for each constant of an enum. Counting allocates nothing. One thread counts; other threads may read
 * slightly outdated values.
 *
 * @param <E> the enum whose constants are counted
 */
public final class EnumCounts<E extends Enum<E>> {
    private final E[] constants;
    private final long[] counts;

    public EnumCounts(Class<E> type) {
        this.constants = type.getEnumConstants();
        this.counts = new long[constants.length];
    }

    public void add(E constant) {
        counts[constant.ordinal()]++;
    }

    public long count(E constant) {
        return counts[constant.ordinal()];
    }

    /** Returns the sum of the counts of all constants. */
    public long total() {
        long sum = 0;
        for (long count : counts) {
            sum += count;
        }
        return sum;
    }

    /** Appends each counter above 0 as {@code prefix.constant=count}, preceded by a space. */
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
