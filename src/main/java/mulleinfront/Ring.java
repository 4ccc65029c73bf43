package mulleinfront;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A hash ring as in gRFC A42: one sorted array of points, searched by bisection. A point's low 16 bits name
 * the slot of its owner, so nothing is boxed. {@link #merge} moves only the points of owners that come or go.
 *
 * @param <T> the owners, told apart by identity
 */
final class Ring<T> {
    private static final int SLOT_BITS = 0xffff;

    private long[] points = {};
    /** Owners by slot; null where the owner has left. */
    private final List<T> slots = new ArrayList<>();
    private final List<T> joining = new ArrayList<>();
    private final List<long[]> joiningPoints = new ArrayList<>();
    private boolean changed;

    /** Adds an owner; its points count after the next {@link #merge}. */
    void add(T owner, long[] hashes) {
        changed = true;
        joining.add(owner);
        joiningPoints.add(hashes);
    }

    /** Removes an owner; until the next {@link #merge} the ring must not be walked. */
    void remove(T owner) {
        changed = true;
        int at = joining.indexOf(owner);
        if (at >= 0) {
            joining.remove(at);
            joiningPoints.remove(at);
        } else {
            slots.set(slots.indexOf(owner), null);
        }
    }

    /** Takes off the points of owners that left and merges in those that joined; nothing, if none did. */
    void merge() {
        if (!changed) {
            return;
        }
        changed = false;
        long[] kept = Arrays.stream(points).filter(p -> slots.get((int) p & SLOT_BITS) != null).toArray();
        long[] fresh = new long[joiningPoints.stream().mapToInt(h -> h.length).sum()];
        int filled = 0;
        for (int i = 0; i < joining.size(); i++) {
            int slot = slots.indexOf(null);
            if (slot < 0) {
                slot = slots.size();
                slots.add(null);
            }
            slots.set(slot, joining.get(i));
            for (long hash : joiningPoints.get(i)) {
                fresh[filled++] = hash & ~SLOT_BITS | slot;
            }
        }
        joining.clear();
        joiningPoints.clear();
        Arrays.sort(fresh);
        points = new long[kept.length + fresh.length];
        for (int i = 0, j = 0; i + j < points.length;) {
            boolean old = j == fresh.length || i < kept.length && kept[i] < fresh[j];
            points[i + j] = old ? kept[i++] : fresh[j++];
        }
    }

    /** Number of points. */
    int size() {
        return points.length;
    }

    /** Place of the first point at or after a hash; may be {@link #size}, which {@link #owner} takes as 0. */
    int first(long hash) {
        int at = Arrays.binarySearch(points, hash & ~SLOT_BITS);
        return at < 0 ? ~at : at;
    }

    /** Owner of the point at a place; places go round. */
    T owner(int place) {
        return slots.get((int) points[place % points.length] & SLOT_BITS);
    }
}
