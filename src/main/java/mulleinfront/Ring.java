package mulleinfront;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A hash ring as in gRFC A42, cut into arcs of equal length: each has its points in one sorted array, so an
 * owner that comes or goes touches only the arcs where its points lie, and a search is a step to the arc and a
 * bisection in it. A point's low 16 bits name the slot of its owner, so nothing is boxed.
 *
 * @param <T> the owners, told apart by {@code equals}
 */
final class Ring<T> {
    private static final int SLOT_BITS = 0xffff;
    /** Points of an arc on the average; beyond four times as many, or a quarter, arcs are cut anew. */
    private static final int ARC_POINTS = 32;

    private static final long[] NONE = {};

    /** Arcs in the order of their points; their number is a power of two, at least 2. */
    private long[][] arcs = {NONE, NONE};

    private int points;
    /** Owners by slot; null where the owner has left. */
    private final List<T> slots = new ArrayList<>();

    private final Map<T, Integer> slotOf = new HashMap<>();
    private final BitSet taken = new BitSet();
    /** Owners that join at the next {@link #merge} and their hashes, in the order in which they were added. */
    private final Map<T, long[]> joining = new LinkedHashMap<>();

    private final List<long[]> leaving = new ArrayList<>();
    /** Place of the walk: arc and point in it. */
    private int arc;

    private int place;

    /** Adds an owner; its points count after the next {@link #merge}. */
    void add(T owner, long[] hashes) {
        joining.put(owner, hashes);
    }

    /** Removes an owner, given the hashes it was added with; until {@link #merge} no walk may be made. */
    void remove(T owner, long[] hashes) {
        if (joining.remove(owner) != null) {
            return;
        }
        int slot = slotOf.remove(owner);
        slots.set(slot, null);
        taken.clear(slot);
        leaving.add(hashes);
    }

    /** Takes off the points of owners that left and puts in those that joined; at the cost of those alone. */
    void merge() {
        // Slots that are free now may be taken again below: what still names them has to go first.
        for (long[] hashes : leaving) {
            for (long hash : hashes) {
                int at = arcOf(hash);
                int length = arcs[at].length;
                arcs[at] = kept(arcs[at]);
                points -= length - arcs[at].length;
            }
        }
        leaving.clear();
        int count = 0;
        for (long[] hashes : joining.values()) {
            count += hashes.length;
        }
        cut(points + count);
        long[] fresh = new long[count];
        int filled = 0;
        for (Map.Entry<T, long[]> e : joining.entrySet()) {
            int slot = taken.nextClearBit(0);
            taken.set(slot);
            if (slot == slots.size()) {
                slots.add(null);
            }
            slots.set(slot, e.getKey());
            slotOf.put(e.getKey(), slot);
            for (long hash : e.getValue()) {
                fresh[filled++] = hash & ~SLOT_BITS | slot;
            }
        }
        joining.clear();
        Arrays.sort(fresh);
        spread(fresh);
        points += count;
    }

    /** Puts sorted points into the arcs that they lie in. */
    private void spread(long[] sorted) {
        for (int from = 0, to; from < sorted.length; from = to) {
            int at = arcOf(sorted[from]);
            to = from + 1;
            while (to < sorted.length && arcOf(sorted[to]) == at) {
                to++;
            }
            arcs[at] = merged(arcs[at], sorted, from, to);
        }
    }

    /** An arc's points without those whose owner has left; the same array if all are there. */
    private long[] kept(long[] old) {
        int left = 0;
        for (long p : old) {
            left += slots.get((int) p & SLOT_BITS) != null ? 1 : 0;
        }
        if (left == old.length) {
            return old;
        }
        long[] kept = new long[left];
        int at = 0;
        for (long p : old) {
            if (slots.get((int) p & SLOT_BITS) != null) {
                kept[at++] = p;
            }
        }
        return kept;
    }

    /** One sorted array of an arc's points and a sorted stretch of others. */
    private static long[] merged(long[] old, long[] fresh, int from, int to) {
        long[] all = new long[old.length + to - from];
        for (int i = 0, j = from; i + j - from < all.length; ) {
            boolean first = j == to || i < old.length && old[i] < fresh[j];
            all[i + j - from] = first ? old[i++] : fresh[j++];
        }
        return all;
    }

    /** Cuts all points into arcs anew if that many would make arcs too long or too short. */
    private void cut(int expected) {
        int wanted = Math.max(2, Integer.highestOneBit(Math.max(1, expected / ARC_POINTS)));
        if (wanted <= 4 * arcs.length && 4 * wanted >= arcs.length) {
            return;
        }
        long[] all = Arrays.stream(arcs).flatMapToLong(Arrays::stream).toArray();
        arcs = new long[wanted][];
        Arrays.fill(arcs, NONE);
        spread(all);
    }

    /** Points are ordered as signed numbers, so the first arc begins at the least of these. */
    private int arcOf(long point) {
        return (int) ((point ^ Long.MIN_VALUE) >>> Long.numberOfLeadingZeros(arcs.length) + 1);
    }

    /** Number of points. */
    int size() {
        return points;
    }

    /** Begins a walk at the first point at or after a hash. */
    void seek(long hash) {
        arc = arcOf(hash);
        place = Arrays.binarySearch(arcs[arc], hash & ~SLOT_BITS);
        place = place < 0 ? ~place : place;
    }

    /** Owner of the walk's next point; it goes round, and there must be a point. */
    T next() {
        while (place == arcs[arc].length) {
            place = 0;
            arc = arc + 1 & arcs.length - 1;
        }
        return slots.get((int) arcs[arc][place++] & SLOT_BITS);
    }
}
