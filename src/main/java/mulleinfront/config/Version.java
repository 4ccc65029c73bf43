package mulleinfront.config;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * One decided version of the fleet's configuration, whole.
 *
 * @param number counts up by one from 1; 0 is the empty one before any was decided
 * @param entries each key, dotted as in the operators' file, and its value as text; never changed
 * @param why what its proposer said of it, one line
 * @param decidedAtMillis when it was proposed by its proposer's clock, milliseconds since 1970; for people, never
 *        compared with another clock
 */
public record Version(long number, SortedMap<String, String> entries, String why, long decidedAtMillis) {
    /** What is in force before any version was decided. */
    public static final Version NONE = new Version(0, new TreeMap<>(), "", 0);

    /** Checks that the number is not negative and takes an unmodifiable copy of the entries. */
    public Version {
        if (number < 0) {
            throw new IllegalArgumentException("version " + number + " is below 0");
        }
        entries = Collections.unmodifiableSortedMap(new TreeMap<>(entries));
    }
}
