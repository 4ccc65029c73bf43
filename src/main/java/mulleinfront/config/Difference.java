package mulleinfront.config;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What has to be done to one version to get another. Over {@link Version#NONE}, which all know, it is the
 * whole.
 *
 * @param from the version that it stands on; 0: none, it is the whole
 * @param to the version that it leads to
 * @param changed keys that are new or have another value
 * @param removed keys that are no more
 * @param why what the new version's proposer said of it
 * @param decidedAtMillis of the new version, for people
 * @param checksum the new version's, whole
 */
public record Difference(
        long from,
        long to,
        SortedMap<String, String> changed,
        SortedSet<String> removed,
        String why,
        long decidedAtMillis,
        long checksum) {

    public Difference {
        changed = Collections.unmodifiableSortedMap(new TreeMap<>(changed));
        removed = Collections.unmodifiableSortedSet(new TreeSet<>(removed));
    }

    /** What leads from one version to another. */
    public static Difference between(Version from, Version to) {
        TreeMap<String, String> changed = new TreeMap<>();
        for (Map.Entry<String, String> e : to.entries().entrySet()) {
            if (!e.getValue().equals(from.entries().get(e.getKey()))) {
                changed.put(e.getKey(), e.getValue());
            }
        }
        TreeSet<String> removed = new TreeSet<>(from.entries().keySet());
        removed.removeAll(to.entries().keySet());
        return new Difference(
                from.number(), to.number(), changed, removed, to.why(), to.decidedAtMillis(), Checksum.of(to));
    }

    /** A version as a difference that stands on nothing. */
    public static Difference whole(Version version) {
        return between(Version.NONE, version);
    }

    /** Whether it stands on nothing. */
    public boolean isWhole() {
        return from == Version.NONE.number();
    }

    /** Characters of keys and values: which of two is the shorter one to send. */
    public long weight() {
        long weight = 0;
        for (Map.Entry<String, String> e : changed.entrySet()) {
            weight += e.getKey().length() + e.getValue().length();
        }
        for (String key : removed) {
            weight += key.length();
        }
        return weight;
    }

    /**
     * The new version, if this leads to it from the one held; whole or not at all.
     *
     * @param held the version that the taker has; not looked at if this is the whole
     * @throws VersionMismatchException if it stands on another version, or what comes out is not what was handed out
     */
    public Version on(Version held) throws VersionMismatchException {
        Version base = isWhole() ? Version.NONE : held;
        if (base.number() != from) {
            throw new VersionMismatchException(
                    "a difference from version " + from + " to " + to + " on version " + base.number());
        }
        TreeMap<String, String> entries = new TreeMap<>(base.entries());
        entries.keySet().removeAll(removed);
        entries.putAll(changed);
        Version version = new Version(to, entries, why, decidedAtMillis);
        if (Checksum.of(version) != checksum) {
            throw new VersionMismatchException("version " + to + " is not what was handed out: its checksum differs");
        }
        return version;
    }
}
