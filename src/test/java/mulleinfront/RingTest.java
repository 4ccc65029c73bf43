package mulleinfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The ring against a plain sorted map, through many joins and leaves. */
class RingTest {

    @Test
    void mergingGivesTheSameOwnersAsAMap() {
        Random random = new Random(3);
        Ring<String> ring = new Ring<>();
        TreeMap<Long, String> map = new TreeMap<>();
        for (int step = 0; step < 200; step++) {
            for (int i = 0; i < 3; i++) {
                String owner = ("o" + random.nextInt(20)).intern();
                if (map.containsValue(owner)) {
                    map.values().removeIf(owner::equals);
                    ring.remove(owner);
                } else {
                    long[] points = new Random(owner.hashCode()).longs(40).toArray();
                    for (long p : points) {
                        map.put(p & ~0xffffL, owner);
                    }
                    ring.add(owner, points);
                }
            }
            ring.merge();
            assertEquals(map.size(), ring.size());
            for (int i = 0; i < 30 && !map.isEmpty(); i++) {
                long hash = random.nextLong();
                var entry = map.ceilingEntry(hash & ~0xffffL);
                assertSame(entry == null ? map.firstEntry().getValue() : entry.getValue(),
                        ring.owner(ring.first(hash)));
            }
        }
    }
}
