package mulleinfront;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A hash ring as in gRFC A42, divided into arcs of equal length. Each arc has its points in one sorted array, so adding
 * or removing an owner touches only the arcs that contain its points, and a lookup computes the arc and does a binary
 * search in it. The low 16 bits of a point are the slot of its owner, which avoids boxed objects.
 *
 * @param <T> the owners, compared by {@code equals}
 */
final class Ring<T> {
    private static final int SLOT_MASK = 0xffff;
    /** Average number of points per arc; the ring is divided again if it is off by more than a factor of four. */
    private static final int POINTS_PER_ARC = 32;

    private static final long[] NO_POINTS = {};

    /** Arcs in the order of their points; their number is a power of two and at least 2. */
    private long[][] arcs = {NO_POINTS, NO_POINTS};

    private int pointCount;
    /** Owners by slot; null in unused slots. */
    private final List<T> owners = new ArrayList<>();

    private final Map<T, Integer> slotOf = new HashMap<>();
    private final BitSet usedSlots = new BitSet();
    /** Owners to be added by the next {@link #merge} and their hashes, in the order of the calls. */
    private final Map<T, long[]> added = new LinkedHashMap<>();
    /** Hashes of the owners removed since the last {@link #merge}. */
    private final List<long[]> removed = new ArrayList<>();
    /** Position of the walk: the arc and the index in it. */
    private int walkArc;

    private int walkIndex;

    /** Adds an owner; its points are on the ring after the next {@link #merge}. */
    void add(T owner, long[] hashes) {
        added.put(owner, hashes);
    }

    /** Removes an owner, given the hashes with which it was added; no walk is permitted until {@link #merge}. */
    void remove(T owner, long[] hashes) {
        if (added.remove(owner) != null) {
            return;
        }
        int slot = slotOf.remove(owner);
        owners.set(slot, null);
        usedSlots.clear(slot);
        removed.add(hashes);
    }

    /** Applies additions and removals; the cost depends on the points concerned, not on the size of the ring. */
    void merge() {
        // Free slots may be reused below, so points that refer to them have to be removed first.
        for (long[] hashes : removed) {
            for (long hash : hashes) {
                int arc = arcOf(hash);
                int length = arcs[arc].length;
                arcs[arc] = withoutRemoved(arcs[arc]);
                pointCount -= length - arcs[arc].length;
            }
        }
        removed.clear();
        int newCount = 0;
        for (long[] hashes : added.values()) {
            newCount += hashes.length;
        }
        divide(pointCount + newCount);
        long[] newPoints = new long[newCount];
        int filled = 0;
        for (Map.Entry<T, long[]> entry : added.entrySet()) {
            int slot = usedSlots.nextClearBit(0);
            usedSlots.set(slot);
            if (slot == owners.size()) {
                owners.add(null);
            }
            owners.set(slot, entry.getKey());
            slotOf.put(entry.getKey(), slot);
            for (long hash : entry.getValue()) {
                newPoints[filled++] = hash & ~SLOT_MASK | slot;
            }
        }
        added.clear();
        Arrays.sort(newPoints);
        insert(newPoints);
        pointCount += newCount;
    }

    /** Inserts sorted points into their arcs. */
    private void insert(long[] sorted) {
        for (int from = 0, to; from < sorted.length; from = to) {
            int arc = arcOf(sorted[from]);
            to = from + 1;
            while (to < sorted.length && arcOf(sorted[to]) == arc) {
                to++;
            }
            arcs[arc] = merged(arcs[arc], sorted, from, to);
        }
    }

    /** An arc's points without those of removed owners; the same array if there are none. */
    private long[] withoutRemoved(long[] arcPoints) {
        int remaining = 0;
        for (long point : arcPoints) {
            remaining += owners.get((int) point & SLOT_MASK) != null ? 1 : 0;
        }
        if (remaining == arcPoints.length) {
            return arcPoints;
        }
        long[] kept = new long[remaining];
        int filled = 0;
        for (long point : arcPoints) {
            if (owners.get((int) point & SLOT_MASK) != null) {
                kept[filled++] = point;
            }
        }
        return kept;
    }

    /** Merges an arc's points and a range of other sorted points into one sorted array. */
    private static long[] merged(long[] arcPoints, long[] newPoints, int from, int to) {
        long[] merged = new long[arcPoints.length + to - from];
        for (int i = 0, j = from; i + j - from < merged.length; ) {
            boolean takeOld = j == to || i < arcPoints.length && arcPoints[i] < newPoints[j];
            merged[i + j - from] = takeOld ? arcPoints[i++] : newPoints[j++];
        }
        return merged;
    }

    /** Divides the ring again if arcs would be too long or too short with the expected number of points. */
    private void divide(int expectedPoints) {
        int arcCount = Math.max(2, Integer.highestOneBit(Math.max(1, expectedPoints / POINTS_PER_ARC)));
        if (arcCount <= 4 * arcs.length && 4 * arcCount >= arcs.length) {
            return;
        }
        long[] allPoints = Arrays.stream(arcs).flatMapToLong(Arrays::stream).toArray();
        arcs = new long[arcCount][];
        Arrays.fill(arcs, NO_POINTS);
        insert(allPoints);
    }

    /** Index of the arc of a point. Points are ordered as signed numbers, so the first arc begins at the lowest one. */
    private int arcOf(long point) {
        return (int) ((point ^ Long.MIN_VALUE) >>> Long.numberOfLeadingZeros(arcs.length) + 1);
    }

    /** Number of points on the ring. */
    int size() {
        return pointCount;
    }

    /** Starts a walk at the first point at or after a hash. */
    void seek(long hash) {
        walkArc = arcOf(hash);
        walkIndex = Arrays.binarySearch(arcs[walkArc], hash & ~SLOT_MASK);
        walkIndex = walkIndex < 0 ? ~walkIndex : walkIndex;
    }

    /** Owner of the next point of the walk, which wraps around. The ring must not be empty. */
    T next() {
        while (walkIndex == arcs[walkArc].length) {
            walkIndex = 0;
            walkArc = walkArc + 1 & arcs.length - 1;
        }
        return owners.get((int) arcs[walkArc][walkIndex++] & SLOT_MASK);
    }
}
