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

/** The servers that are ready by the lists told so far, each also at its points of a hash ring (gRFC A42). */
final class Servers {
    static final Hasher64 HASH = Hashing.xxh3_64();
    private static final int POINTS = 100;

    private final List<Endpoint> ready = new ArrayList<>();
    private final Map<String, Integer> placeOf = new HashMap<>();
    /** Points in order, the owner's place in {@code ringOf} in the low 16 bits; null after a change. */
    private long[] points;

    private List<Endpoint> ringOf;

    void take(boolean whole, List<Endpoint> entries) {
        if (whole) {
            ready.clear();
            placeOf.clear();
        }
        for (Endpoint e : entries) {
            Integer place = placeOf.get(e.id());
            if (e.availability() != Availability.READY) {
                if (place != null) {
                    remove(e.id(), place);
                }
            } else if (place != null) {
                ready.set(place, e);
            } else {
                placeOf.put(e.id(), ready.size());
                ready.add(e);
            }
        }
        points = null;
    }

    /** The last takes the place of the one that goes. */
    private void remove(String id, int place) {
        placeOf.remove(id);
        Endpoint last = ready.remove(ready.size() - 1);
        if (place < ready.size()) {
            ready.set(place, last);
            placeOf.put(last.id(), place);
        }
    }

    boolean isEmpty() {
        return ready.isEmpty();
    }

    int size() {
        return ready.size();
    }

    Endpoint at(int place) {
        return ready.get(place);
    }

    /** The owners of a hash, in the order of the ring from it on, as many as are asked for or there are. */
    List<Endpoint> owners(long hash, int most) {
        if (points == null) {
            build();
        }
        List<Endpoint> owners = new ArrayList<>(most);
        int at = Arrays.binarySearch(points, hash & ~0xffffL);
        at = at < 0 ? ~at : at;
        for (int i = 0; i < points.length && owners.size() < Math.min(most, ringOf.size()); i++) {
            Endpoint e = ringOf.get((int) points[(at + i) % points.length] & 0xffff);
            if (!owners.contains(e)) {
                owners.add(e);
            }
        }
        return owners;
    }

    private void build() {
        ringOf = List.copyOf(ready);
        points = new long[ringOf.size() * POINTS];
        for (int i = 0; i < ringOf.size(); i++) {
            long hash = HASH.hashCharsToLong(ringOf.get(i).id());
            for (int k = 0; k < POINTS; k++) {
                points[i * POINTS + k] = HASH.hashLongLongToLong(hash, k) & ~0xffffL | i;
            }
        }
        Arrays.sort(points);
    }
}
