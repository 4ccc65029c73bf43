package mulleinfront.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.Writer;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import mulleinfront.capacity.Slope;
import mulleinfront.settings.BadFileException;
import org.junit.jupiter.api.Test;

/**
 * Runs the capacity measurements at small sizes and checks which slopes they give and how these relate, not their
 * speed.
 */
class CapacityMeasuresTest {
    private static final int[] SIZES = {12, 18, 24, 30};

    private static Map<String, Slope> byId(List<Slope> slopes) {
        return slopes.stream().collect(Collectors.toMap(Slope::id, Function.identity()));
    }

    /** Asserts that a measurement gives all slopes of its kind in the capacity file. */
    private static Map<String, Slope> assertAllSlopes(String kind, List<Slope> measured) throws BadFileException {
        Set<String> held = new TreeSet<>();
        CapacityFile.read(Path.of("docs/capacity.json")).slopes().stream()
                .map(Slope::id)
                .filter(id -> id.startsWith(kind + "."))
                .forEach(held::add);
        Map<String, Slope> slopes = byId(measured);
        assertTrue(slopes.keySet().containsAll(held), held + " of " + slopes.keySet());
        slopes.values().forEach(s -> assertEquals(SIZES.length, s.points().size(), s.id()));
        return slopes;
    }

    private static double valueAt(Map<String, Slope> slopes, String id, int point) {
        return slopes.get(id).points().get(point).y();
    }

    @Test
    void fullListsGrowWithServersAndDeltasDoNot() throws IOException, BadFileException {
        Map<String, Slope> slopes = assertAllSlopes("lists", ListCost.measure(SIZES, "bench capacity"));
        assertTrue(valueAt(slopes, "lists.full.bytes", 3) > 2 * valueAt(slopes, "lists.full.bytes", 0));
        assertEquals(valueAt(slopes, "lists.change.bytes", 0), valueAt(slopes, "lists.change.bytes", 3), 4);
    }

    @Test
    void configurationGrowsWithServices() throws IOException, BadFileException {
        Map<String, Slope> slopes = assertAllSlopes(
                "configuration", SnapshotCost.measure(SIZES, Path.of("deploy/sample-config.json"), "bench capacity"));
        assertTrue(
                valueAt(slopes, "configuration.whole.bytes", 3) > 2 * valueAt(slopes, "configuration.whole.bytes", 0));
        assertEquals(
                valueAt(slopes, "configuration.change.bytes", 0), valueAt(slopes, "configuration.change.bytes", 3), 2);
    }

    @Test
    void responseWithoutAReportedTimeIsNotCounted() {
        assertEquals(1_234_567, AddedTime.reportedNanos("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n000001234567"));
        assertEquals(-1, AddedTime.reportedNanos("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
        assertEquals(-1, AddedTime.reportedNanos("HTTP/1.1 503 x\r\nContent-Length: 12\r\n\r\n000001234567"));
    }

    @Test
    void everyFleetFaultIsDetectedAndMeasured() throws BadFileException {
        PrintWriter noOutput = new PrintWriter(Writer.nullWriter());
        Map<String, Slope> slopes =
                assertAllSlopes("membership", MembershipCost.measure(noOutput, SIZES, 1, 0.1, 5, "bench capacity"));
        for (String fault : List.of("host", "rack", "zone")) {
            double suspected = valueAt(slopes, "membership." + fault + ".suspected", 3);
            double known = valueAt(slopes, "membership." + fault + ".known", 3);
            assertTrue(0 < suspected && suspected < known && known < 30, fault + ": " + suspected + ", " + known);
        }
        assertTrue(valueAt(slopes, "membership.rest.bytes", 3) < valueAt(slopes, "membership.start.bytes", 3));
        assertTrue(valueAt(slopes, "membership.together.known", 3) < 40);
        assertTrue(valueAt(slopes, "membership.start.worst", 3) >= valueAt(slopes, "membership.start.bytes", 3));
    }
}
