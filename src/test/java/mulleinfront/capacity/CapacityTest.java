package mulleinfront.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mulleinfront.capacity.Row.Cell;
import mulleinfront.capacity.Row.Measure;
import mulleinfront.capacity.Row.Term;
import org.junit.jupiter.api.Test;

/** Estimates, margins and the order of rows and mechanisms. */
class CapacityTest {
    private static final Map<String, Double> GIVEN = Map.ofEntries(
            Map.entry("hosts", 670.0),
            Map.entry("services", 77.0),
            Map.entry("calls-per-s", 40_000.0),
            Map.entry("depth", 10.0),
            Map.entry("regions", 2.0),
            Map.entry("zones", 5.0),
            Map.entry("rack-hosts", 20.0),
            Map.entry("machines", 3.0),
            Map.entry("changes-per-day", 440.0),
            Map.entry("failures-per-day", 3.0),
            Map.entry("restarts-per-day", 35.0),
            Map.entry("bytes-budget", 12_000.0),
            Map.entry("second", 1.0));

    private static Slope slope(String id, double base, double each) {
        List<Fit.Point> points = new ArrayList<>();
        for (double n : new double[] {50, 167, 335, 1340}) {
            points.add(new Fit.Point(n, base + each * n));
        }
        return new Slope(id, "something", "bytes/s", "client proxies", points, "a command");
    }

    private static Row row(String part, String when, String mechanism, Cell... cells) {
        return new Row("client proxy", part, when, mechanism, List.of(cells));
    }

    private static Cell bytes(String budget, Term... terms) {
        return new Cell(Measure.BYTES, List.of(terms), budget, null, Double.NaN);
    }

    private static Cell given(double value) {
        return new Cell(Measure.BYTES, List.of(), "bytes-budget", "elsewhere", value);
    }

    @Test
    void estimateIsTheSumOfItsTerms() {
        Capacity capacity = new Capacity(
                new Size(GIVEN),
                List.of(slope("a", 10, 2), slope("b", 0, 1)),
                List.of(
                        row(
                                "x",
                                "at rest",
                                "m",
                                bytes(
                                        "bytes-budget",
                                        new Term("a", "hosts", List.of("2", "machines")),
                                        new Term("b", "zone-hosts", List.of("/10")))),
                        row("x", "counted", "m", bytes(null, new Term(Term.COUNT, "calls-per-proxy-deep", List.of())))),
                List.of());
        Estimate first = capacity.estimates().get(0);
        assertEquals((10 + 2 * 670) * 2 * 3 + 134 / 10.0, first.value(), 1e-6);
        assertEquals(1 - first.value() / 12_000, first.margin(), 1e-9);
        assertFalse(first.isOverBudget());
        assertEquals(40_000 / 670.0 * 10, capacity.estimates().get(1).value(), 1e-9);
        assertEquals(
                10 + 2 * 1340,
                capacity.withSize(capacity.size().withHosts(1340)).fit("a").at(1340),
                1e-6);
        assertTrue(capacity.withSize(capacity.size().withHosts(1340))
                .estimates()
                .get(0)
                .isOverBudget());
    }

    @Test
    void slopeWithoutMeasurementsGivesNoEstimate() {
        Slope later = new Slope("later", "something", "bytes/s", "client proxies", List.of(), "a command");
        Row row = row("x", "at rest", "m", bytes("bytes-budget", new Term("later", "hosts", List.of())));
        Capacity capacity = new Capacity(new Size(GIVEN), List.of(later), List.of(row), List.of());
        assertTrue(Double.isNaN(capacity.estimates().get(0).value()));
        assertEquals(List.of(), capacity.byBudgetShare());
        assertTrue(new Page(capacity).rows("client proxy", "x").contains("not measured"));
    }

    @Test
    void rowsWithoutMechanismComeBeforeRowsOverBudget() {
        Capacity capacity = new Capacity(
                new Size(GIVEN),
                List.of(),
                List.of(
                        row("x", "over", "m", given(24_000)),
                        row("y", "far over", "m", given(36_000)),
                        row("z", "missing", Row.NONE, given(Double.NaN)),
                        row("w", "within", "m", given(1_000)),
                        row("v", "not bounded", "m", new Cell(Measure.BYTES, List.of(), null, "elsewhere", 9e9))),
                List.of());
        assertEquals(
                List.of("missing", "far over", "over", "within"),
                capacity.byBudgetShare().stream().map(e -> e.row().when()).toList());
    }

    @Test
    void missingMechanismsAreOrderedByFaultTypes() {
        Map<String, Double> days = new HashMap<>(GIVEN);
        Requirement rare = new Requirement("rare", "r", List.of("failures-per-day"), "");
        Requirement many = new Requirement("many", "m", List.of("failures-per-day", "changes-per-day"), "");
        Requirement kinds = new Requirement("kinds", "k", List.of("failures-per-day", "restarts-per-day"), "");
        Requirement over =
                new Requirement("over", "o", List.of("failures-per-day", "restarts-per-day", "changes-per-day"), "");
        List<Row> rows = List.of(
                row("r", "a", Row.NONE, given(1)),
                row("m", "a", Row.NONE, given(1)),
                row("k", "a", Row.NONE, given(1)),
                row("o", "a", "it", given(99_000)));
        Capacity capacity = new Capacity(new Size(days), List.of(), rows, List.of(rare, over, kinds, many));
        assertEquals(
                List.of("many", "kinds", "rare", "over"),
                capacity.requirementsByUrgency().stream().map(Requirement::name).toList());
        assertEquals(443, capacity.occurrencesPerDay(many));
    }

    @Test
    void rejectsInconsistentRowsAndSizes() {
        Row unknown = row("x", "at rest", "m", bytes(null, new Term("nobody", "hosts", List.of())));
        Row unsized = row("x", "at rest", "m", bytes(null, new Term("a", "nowhere", List.of())));
        for (Row wrong : List.of(unknown, unsized)) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> new Capacity(new Size(GIVEN), List.of(slope("a", 1, 1)), List.of(wrong), List.of()));
        }
        Row twice = row("x", "at rest", "m");
        assertThrows(
                IllegalArgumentException.class,
                () -> new Capacity(new Size(GIVEN), List.of(), List.of(twice, twice), List.of()));
        assertThrows(IllegalArgumentException.class, () -> new Size(Map.of("hosts", 670.0)));
    }

    @Test
    void fillRegeneratesTablesAndKeepsText() {
        Capacity capacity = new Capacity(
                new Size(GIVEN),
                List.of(slope("a", 1, 1)),
                List.of(row("x", "at rest", "m", bytes("bytes-budget", new Term("a", "hosts", List.of())))),
                List.of());
        Page page = new Page(capacity);
        String text =
                "before\n<!-- begin rows: client proxy, x -->\nold\n" + "<!-- end rows: client proxy, x -->\nafter\n";
        String filled = page.fill(text);
        assertTrue(filled.startsWith("before\n") && filled.endsWith("\nafter\n"), filled);
        assertTrue(filled.contains("| at rest | not measured | not measured | 671 (5.59%)"), filled);
        assertFalse(filled.contains("old"), filled);
        assertEquals(filled, page.fill(filled));
        assertThrows(IllegalArgumentException.class, () -> page.fill("<!-- begin size -->\n"));
        assertThrows(IllegalArgumentException.class, () -> page.fill(text.replace("client proxy, x", "nobody, x")));
    }
}
