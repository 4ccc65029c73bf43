package mulleinfront.config;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A committed version of the fleet's configuration with all of its entries.
 *
 * @param number sequence number from 1; 0 is the empty version before the first commit
 * @param entries values as text by key, keys dotted as in the operators' file; unmodifiable
 * @param description one-line description by the proposer
 * @param proposedAtMs when the version was proposed by the proposer's clock, milliseconds since 1970; for people
 *        only, never compared with another clock
 */
public record Version(long number, SortedMap<String, String> entries, String description, long proposedAtMs) {
    /** The empty version that is active before any version is committed. */
    public static final Version NONE = new Version(0, new TreeMap<>(), "", 0);

    /** Checks that the number is not negative and takes an unmodifiable copy of the entries. */
    public Version {
        if (number < 0) {
            throw new IllegalArgumentException("version " + number + " is negative");
        }
        entries = Collections.unmodifiableSortedMap(new TreeMap<>(entries));
    }
}
