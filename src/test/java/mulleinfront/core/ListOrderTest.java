package mulleinfront.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Lists that come out of order: each host goes by the newest version that named it. */
class ListOrderTest {
    private final ListVersionFilter order = new ListVersionFilter();

    private List<String> news(long version, boolean full, String... hosts) {
        return order.newEntries(version, full, List.of(hosts), h -> h);
    }

    @Test
    void anOldChangeIsNewsOfOneHostAndOvertakenForAnother() {
        assertEquals(List.of("a", "b"), news(1, true, "a", "b"));
        assertEquals(List.of("a"), news(6, false, "a"));
        assertEquals(List.of("b"), news(5, false, "a", "b"));
        assertEquals(List.of("a", "b"), news(6, false, "a", "b"), "told again, it does no harm");
    }

    @Test
    void aWholeListIsTheLatestWordWhateverItsNumber() {
        news(9, false, "a");
        assertEquals(List.of("a"), news(3, true, "a"));
        assertEquals(List.of("a"), news(4, false, "a"));
        order.reset();
        assertEquals(List.of("a"), news(1, false, "a"));
    }

    @Test
    void inAnyOrderOfFiveListsTheNewestWordOfEachHostIsInForce() {
        for (int seed = 0; seed < 500; seed++) {
            Random random = new Random(seed);
            Map<String, Integer> truth = new HashMap<>();
            List<List<String>> lists = new ArrayList<>();
            for (int version = 1; version <= 5; version++) {
                List<String> changed = new ArrayList<>();
                for (String host : List.of("a", "b", "c")) {
                    if (random.nextBoolean()) {
                        changed.add(host);
                        truth.put(host, version);
                    }
                }
                lists.add(changed);
            }
            List<Integer> versions = new ArrayList<>(List.of(1, 2, 3, 4, 5));
            Collections.shuffle(versions, random);
            ListVersionFilter shuffled = new ListVersionFilter();
            Map<String, Integer> held = new HashMap<>();
            for (int version : versions) {
                shuffled.newEntries(version, false, lists.get(version - 1), h -> h)
                        .forEach(h -> held.put(h, version));
            }
            assertEquals(truth, held, "seed " + seed + ", in the order " + versions);
        }
    }

    @Test
    void whatIsRememberedIsBounded() throws Exception {
        for (int i = 0; i < 50_000; i++) {
            news(i, false, "host" + i);
        }
        java.lang.reflect.Field versions = ListVersionFilter.class.getDeclaredField("versions");
        versions.setAccessible(true);
        assertEquals(4096, ((Map<?, ?>) versions.get(order)).size());
    }
}
