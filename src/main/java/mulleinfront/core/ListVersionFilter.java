package mulleinfront.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Filters outdated entries from endpoint lists. A delta contains only the endpoints that changed at its version, so a
 * delta that arrives late may be current for one endpoint and outdated for another. For each endpoint the newest
 * version that named it applies. A full list replaces everything before it, whatever its version.
 */
public final class ListVersionFilter {
    /**
     * Versions are kept for this many endpoints more than the last full list contains; the endpoints named longest ago
     * are evicted.
     */
    private static final int MAX_EXTRA_VERSIONS = 4096;

    private final Map<String, Long> versions = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > Math.max(MAX_EXTRA_VERSIONS, fullListSize + MAX_EXTRA_VERSIONS);
        }
    };
    private int fullListSize;

    /** Forgets all versions: another discovery server may number its versions differently. */
    public void reset() {
        versions.clear();
    }

    /**
     * Records a list and returns its entries that are not outdated.
     *
     * @param version version of the list
     * @param full whether it is a full list rather than a delta
     * @param entries entries of the list
     * @param idOf returns the endpoint id of an entry
     * @return the entries that are not outdated, in the order of the list
     */
    public <E> List<E> newEntries(long version, boolean full, List<E> entries, Function<E, String> idOf) {
        if (full) {
            versions.clear();
            fullListSize = entries.size();
        }
        List<E> newEntries = new ArrayList<>(entries.size());
        for (E entry : entries) {
            Long knownVersion = versions.get(idOf.apply(entry));
            if (knownVersion == null || knownVersion <= version) {
                versions.put(idOf.apply(entry), version);
                newEntries.add(entry);
            }
        }
        return newEntries;
    }
}
