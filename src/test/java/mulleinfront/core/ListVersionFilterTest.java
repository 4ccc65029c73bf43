package mulleinfront.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Lists that arrive out of order: for each endpoint the newest version that named it applies. */
class ListVersionFilterTest {
    private final ListVersionFilter filter = new ListVersionFilter();

    private List<String> newEntries(long version, boolean full, String... hosts) {
        return filter.newEntries(version, full, List.of(hosts), h -> h);
    }

    @Test
    void lateDeltaIsNewForOneEndpointAndOutdatedForAnother() {
        assertEquals(List.of("a", "b"), newEntries(1, true, "a", "b"));
        assertEquals(List.of("a"), newEntries(6, false, "a"));
        assertEquals(List.of("b"), newEntries(5, false, "a", "b"));
        assertEquals(List.of("a", "b"), newEntries(6, false, "a", "b"), "a list that is received again has no effect");
    }

    @Test
    void fullListAppliesWhateverItsVersion() {
        newEntries(9, false, "a");
        assertEquals(List.of("a"), newEntries(3, true, "a"));
        assertEquals(List.of("a"), newEntries(4, false, "a"));
        filter.reset();
        assertEquals(List.of("a"), newEntries(1, false, "a"));
    }

    @Test
    void newestVersionOfEachEndpointAppliesInAnyOrder() {
        for (int seed = 0; seed < 500; seed++) {
            Random random = new Random(seed);
            Map<String, Integer> expected = new HashMap<>();
            List<List<String>> lists = new ArrayList<>();
            for (int version = 1; version <= 5; version++) {
                List<String> changed = new ArrayList<>();
                for (String host : List.of("a", "b", "c")) {
                    if (random.nextBoolean()) {
                        changed.add(host);
                        expected.put(host, version);
                    }
                }
                lists.add(changed);
            }
            List<Integer> versions = new ArrayList<>(List.of(1, 2, 3, 4, 5));
            Collections.shuffle(versions, random);
            ListVersionFilter shuffled = new ListVersionFilter();
            Map<String, Integer> applied = new HashMap<>();
            for (int version : versions) {
                shuffled.newEntries(version, false, lists.get(version - 1), h -> h)
                        .forEach(h -> applied.put(h, version));
            }
            assertEquals(expected, applied, "seed " + seed + ", in the order " + versions);
        }
    }

    @Test
    void rememberedVersionsAreBounded() throws Exception {
        for (int i = 0; i < 50_000; i++) {
            newEntries(i, false, "host" + i);
        }
        java.lang.reflect.Field versions = ListVersionFilter.class.getDeclaredField("versions");
        versions.setAccessible(true);
        assertEquals(4096, ((Map<?, ?>) versions.get(filter)).size());
    }
}
