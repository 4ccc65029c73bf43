package mulleinfront.emulator.reference;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.Endpoint;

/** The servers that are ready according to the lists received so far, and a hash ring of them (gRFC A42). */
final class Servers {
    static final Hasher64 HASH = Hashing.xxh3_64();
    private static final int POINTS_PER_SERVER = 100;

    private final List<Endpoint> ready = new ArrayList<>();
    private final Map<String, Integer> indexOf = new HashMap<>();
    /** Sorted ring points, with the owner's index in {@code ringOf} in the low 16 bits; null after a list update. */
    private long[] points;

    private List<Endpoint> ringOf;

    void update(boolean full, List<Endpoint> entries) {
        if (full) {
            ready.clear();
            indexOf.clear();
        }
        for (Endpoint endpoint : entries) {
            Integer index = indexOf.get(endpoint.id());
            if (endpoint.availability() != Availability.READY) {
                if (index != null) {
                    remove(endpoint.id(), index);
                }
            } else if (index != null) {
                ready.set(index, endpoint);
            } else {
                indexOf.put(endpoint.id(), ready.size());
                ready.add(endpoint);
            }
        }
        points = null;
    }

    /** Removes a server; the last one moves to its index. */
    private void remove(String id, int index) {
        indexOf.remove(id);
        Endpoint last = ready.remove(ready.size() - 1);
        if (index < ready.size()) {
            ready.set(index, last);
            indexOf.put(last.id(), index);
        }
    }

    boolean isEmpty() {
        return ready.isEmpty();
    }

    int size() {
        return ready.size();
    }

    Endpoint get(int index) {
        return ready.get(index);
    }

    /** The first owners of a hash in ring order: at most {@code limit}, each server once. */
    List<Endpoint> owners(long hash, int limit) {
        if (points == null) {
            build();
        }
        List<Endpoint> owners = new ArrayList<>(limit);
        int start = Arrays.binarySearch(points, hash & ~0xffffL);
        start = start < 0 ? ~start : start;
        for (int i = 0; i < points.length && owners.size() < Math.min(limit, ringOf.size()); i++) {
            Endpoint endpoint = ringOf.get((int) points[(start + i) % points.length] & 0xffff);
            if (!owners.contains(endpoint)) {
                owners.add(endpoint);
            }
        }
        return owners;
    }

    private void build() {
        ringOf = List.copyOf(ready);
        points = new long[ringOf.size() * POINTS_PER_SERVER];
        for (int i = 0; i < ringOf.size(); i++) {
            long hash = HASH.hashCharsToLong(ringOf.get(i).id());
            for (int k = 0; k < POINTS_PER_SERVER; k++) {
                points[i * POINTS_PER_SERVER + k] = HASH.hashLongLongToLong(hash, k) & ~0xffffL | i;
            }
        }
        Arrays.sort(points);
    }
}
