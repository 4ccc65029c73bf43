package mulleinfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Compares the ring with a sorted map while owners are added and removed. */
class RingTest {

    @Test
    void mergeKeepsTheOwnersOfASortedMap() {
        Random random = new Random(3);
        Ring<String> ring = new Ring<>();
        TreeMap<Long, String> map = new TreeMap<>();
        for (int step = 0; step < 200; step++) {
            for (int i = 0; i < 3 + step % 5; i++) {
                String owner = ("o" + random.nextInt(step < 100 ? 200 : 4)).intern();
                if (map.containsValue(owner)) {
                    map.values().removeIf(owner::equals);
                    ring.remove(owner, points(owner));
                } else {
                    for (long point : points(owner)) {
                        map.put(point & ~0xffffL, owner);
                    }
                    ring.add(owner, points(owner));
                }
            }
            ring.merge();
            assertEquals(map.size(), ring.size());
            for (int i = 0; i < 30 && !map.isEmpty(); i++) {
                long hash = random.nextLong();
                ring.seek(hash);
                var entry = map.ceilingEntry(hash & ~0xffffL);
                for (int k = 0; k < map.size() + 1; k++) {
                    entry = entry == null ? map.firstEntry() : entry;
                    assertSame(entry.getValue(), ring.next());
                    entry = map.higherEntry(entry.getKey());
                }
            }
        }
    }

    private static long[] points(String owner) {
        return new Random(owner.hashCode()).longs(40).toArray();
    }
}
