package mulleinfront.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Which entries of a list of hosts are news. Changes hold only what changed at their version, so one that comes
 * late may tell something new of one host and something long overtaken of another: each host goes by the newest
 * version that named it. A whole list is the latest word of whoever sends it, whatever came before.
 */
public final class ListVersionFilter {
    /** Hosts whose last version is kept beyond the last whole list; those named longest ago are let go. */
    private static final int MOST = 4096;

    private final Map<String, Long> versions = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > Math.max(MOST, wholeSize + MOST);
        }
    };
    private int wholeSize;

    /** Nothing is known any more: another sender may count its versions in its own way. */
    public void reset() {
        versions.clear();
    }

    /**
     * Takes note of a list.
     *
     * @param version its version
     * @param full whether it is whole
     * @param entries what it holds
     * @param id the host that an entry names
     * @return the entries that are news, in their order
     */
    public <E> List<E> newEntries(long version, boolean full, List<E> entries, Function<E, String> id) {
        if (full) {
            versions.clear();
            wholeSize = entries.size();
        }
        List<E> news = new ArrayList<>(entries.size());
        for (E e : entries) {
            Long held = versions.get(id.apply(e));
            if (held == null || held <= version) {
                versions.put(id.apply(e), version);
                news.add(e);
            }
        }
        return news;
    }
}
