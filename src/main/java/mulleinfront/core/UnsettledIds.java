package mulleinfront.core;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the ids of requests that have ended although an attempt may have run or may still run, so that a request
 * that comes again under such an id is not sent a second time. Ids are kept as hashes, since a client may choose them of
 * any length, and up to a limit, the oldest of which is forgotten first.
 */
final class UnsettledIds {
    /** Limit of the ids: some megabytes, and more than an instance sends in the time for which they are kept. */
    static final int MAX_IDS = 16 * 1024;

    /** Parameters of the 64-bit hash FNV-1a. */
    private static final long HASH_OFFSET = 0xcbf29ce484222325L;

    private static final long HASH_PRIME = 0x100000001b3L;

    private final long keptUs;
    /** When each id is forgotten, by its hash; the oldest first. */
    private final Map<Long, Long> forgottenAt = new LinkedHashMap<>();

    /** @param keptUs time for which an id is kept, microseconds */
    UnsettledIds(long keptUs) {
        this.keptUs = keptUs;
    }

    void add(String id, long now) {
        forgetUntil(now);
        Long hash = hash(id);
        forgottenAt.remove(hash);
        if (forgottenAt.size() >= MAX_IDS) {
            forgottenAt.remove(forgottenAt.keySet().iterator().next());
        }
        forgottenAt.put(hash, now + keptUs);
    }

    boolean contains(String id, long now) {
        forgetUntil(now);
        return !forgottenAt.isEmpty() && forgottenAt.containsKey(hash(id));
    }

    private static long hash(String id) {
        long hash = HASH_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * HASH_PRIME;
        }
        return hash;
    }

    private void forgetUntil(long now) {
        for (Iterator<Long> times = forgottenAt.values().iterator(); times.hasNext() && times.next() <= now; ) {
            times.remove();
        }
    }
}
