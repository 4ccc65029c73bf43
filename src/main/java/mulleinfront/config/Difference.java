package mulleinfront.config;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Delta from one version to another. A delta with the base version {@link Version#NONE} holds the full
 * configuration.
 *
 * @param from number of the base version; 0 for a delta that holds the full configuration
 * @param to number of the target version
 * @param changed keys that are new or have another value, with their values in the target version
 * @param removed keys that the target version lacks
 * @param description description of the target version by its proposer
 * @param proposedAtMs when the target version was proposed by the proposer's clock, milliseconds since 1970; for
 *        people only
 * @param checksum checksum of the complete target version
 */
public record Difference(
        long from,
        long to,
        SortedMap<String, String> changed,
        SortedSet<String> removed,
        String description,
        long proposedAtMs,
        long checksum) {

    public Difference {
        changed = Collections.unmodifiableSortedMap(new TreeMap<>(changed));
        removed = Collections.unmodifiableSortedSet(new TreeSet<>(removed));
    }

    /** Returns the delta from one version to another. */
    public static Difference between(Version from, Version to) {
        TreeMap<String, String> changed = new TreeMap<>();
        for (Map.Entry<String, String> entry : to.entries().entrySet()) {
            if (!entry.getValue().equals(from.entries().get(entry.getKey()))) {
                changed.put(entry.getKey(), entry.getValue());
            }
        }
        TreeSet<String> removed = new TreeSet<>(from.entries().keySet());
        removed.removeAll(to.entries().keySet());
        return new Difference(
                from.number(), to.number(), changed, removed, to.description(), to.proposedAtMs(), Checksum.of(to));
    }

    /** Returns a delta that holds the full version. */
    public static Difference full(Version version) {
        return between(Version.NONE, version);
    }

    /** Whether this delta holds the full configuration. */
    public boolean isFull() {
        return from == Version.NONE.number();
    }

    /** Number of characters in keys and values, to choose the smaller of two deltas. */
    public long characterCount() {
        long characters = 0;
        for (Map.Entry<String, String> entry : changed.entrySet()) {
            characters += entry.getKey().length() + entry.getValue().length();
        }
        for (String key : removed) {
            characters += key.length();
        }
        return characters;
    }

    /**
     * Applies this delta to a version.
     *
     * @param current version to apply the delta to; ignored if this delta holds the full configuration
     * @return the target version
     * @throws VersionMismatchException if the base version differs, or the checksum of the result does not match
     */
    public Version applyTo(Version current) throws VersionMismatchException {
        Version base = isFull() ? Version.NONE : current;
        if (base.number() != from) {
            throw new VersionMismatchException(
                    "delta from version " + from + " to " + to + " can't be applied to version " + base.number());
        }
        TreeMap<String, String> entries = new TreeMap<>(base.entries());
        entries.keySet().removeAll(removed);
        entries.putAll(changed);
        Version version = new Version(to, entries, description, proposedAtMs);
        if (Checksum.of(version) != checksum) {
            throw new VersionMismatchException("version " + to + " does not match its checksum");
        }
        return version;
    }
}
