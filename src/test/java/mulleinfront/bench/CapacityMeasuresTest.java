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
    private static Map<String, Slope> all(String kind, List<Slope> measured) throws BadFileException {
        Set<String> held = new TreeSet<>();
        CapacityFile.read(Path.of("docs/capacity.json")).slopes().stream()
                .map(Slope::id)
                .filter(id -> id.startsWith(kind + "."))
                .forEach(held::add);
        Map<String, Slope> by = byId(measured);
        assertTrue(by.keySet().containsAll(held), held + " of " + by.keySet());
        by.values().forEach(s -> assertEquals(SIZES.length, s.points().size(), s.id()));
        return by;
    }

    private static double at(Map<String, Slope> by, String id, int point) {
        return by.get(id).points().get(point).y();
    }

    @Test
    void fullListsGrowWithServersAndDeltasDoNot() throws IOException, BadFileException {
        Map<String, Slope> by = all("lists", ListCost.measure(SIZES, "bench capacity"));
        assertTrue(at(by, "lists.full.bytes", 3) > 2 * at(by, "lists.full.bytes", 0));
        assertEquals(at(by, "lists.change.bytes", 0), at(by, "lists.change.bytes", 3), 4);
    }

    @Test
    void configurationGrowsWithServices() throws IOException, BadFileException {
        Map<String, Slope> by = all(
                "configuration", SnapshotCost.measure(SIZES, Path.of("deploy/sample-config.json"), "bench capacity"));
        assertTrue(at(by, "configuration.whole.bytes", 3) > 2 * at(by, "configuration.whole.bytes", 0));
        assertEquals(at(by, "configuration.change.bytes", 0), at(by, "configuration.change.bytes", 3), 2);
    }

    @Test
    void responseWithoutAReportedTimeIsNotCounted() {
        assertEquals(1_234_567, AddedTime.reportedNanos("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n000001234567"));
        assertEquals(-1, AddedTime.reportedNanos("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
        assertEquals(-1, AddedTime.reportedNanos("HTTP/1.1 503 x\r\nContent-Length: 12\r\n\r\n000001234567"));
    }

    @Test
    void everyFleetFaultIsDetectedAndMeasured() throws BadFileException {
        PrintWriter nobody = new PrintWriter(Writer.nullWriter());
        Map<String, Slope> by = all("membership", MembershipCost.measure(nobody, SIZES, 1, 0.1, 5, "bench capacity"));
        for (String fault : List.of("host", "rack", "zone")) {
            double suspected = at(by, "membership." + fault + ".suspected", 3);
            double known = at(by, "membership." + fault + ".known", 3);
            assertTrue(0 < suspected && suspected < known && known < 30, fault + ": " + suspected + ", " + known);
        }
        assertTrue(at(by, "membership.rest.bytes", 3) < at(by, "membership.start.bytes", 3));
        assertTrue(at(by, "membership.together.known", 3) < 40);
        assertTrue(at(by, "membership.start.worst", 3) >= at(by, "membership.start.bytes", 3));
    }
}
