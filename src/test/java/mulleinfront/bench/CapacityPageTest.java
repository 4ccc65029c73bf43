package mulleinfront.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import mulleinfront.capacity.Capacity;
import mulleinfront.capacity.Fit;
import mulleinfront.capacity.Page;
import mulleinfront.capacity.Row;
import mulleinfront.capacity.Slope;
import mulleinfront.core.Wire;
import mulleinfront.settings.BadFileException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks that the capacity page agrees with the committed slopes. */
class CapacityPageTest {
    private static final Path PAGE = Path.of("docs/CAPACITY.md");
    private static final Path FILE = Path.of("docs/capacity.json");

    /** Points used for a slope without measurements. */
    private static final List<Fit.Point> FOUR =
            List.of(new Fit.Point(1, 1), new Fit.Point(2, 2), new Fit.Point(3, 3), new Fit.Point(4, 4));

    @TempDir
    private Path folder;

    @Test
    void pageMatchesTheCommittedSlopes() throws IOException, BadFileException {
        String page = Files.readString(PAGE);
        assertEquals(
                new Page(CapacityFile.read(FILE)).fill(page),
                page,
                "run: bench capacity --as-held --json docs/capacity.json --page docs/CAPACITY.md");
        assertEquals(
                CapacityFile.text(CapacityFile.read(FILE)),
                Files.readString(FILE),
                "run: bench capacity --as-held --json docs/capacity.json --page docs/CAPACITY.md");
    }

    @Test
    void changedSlopeChangesThePage() throws IOException, BadFileException {
        String page = Files.readString(PAGE);
        Capacity held = CapacityFile.read(FILE);
        Set<String> used = held.rows().stream()
                .flatMap(r -> r.cells().stream())
                .flatMap(c -> c.terms().stream())
                .map(Row.Term::slope)
                .collect(Collectors.toSet());
        assertTrue(held.slopes().size() > 10, "slopes: " + held.slopes().size());
        for (Slope s : held.slopes()) {
            assertTrue(used.contains(s.id()) || page.contains("`" + s.id() + "`"), s.id() + " is nowhere on the page");
            List<Fit.Point> points = s.points().isEmpty() ? FOUR : s.points();
            List<Fit.Point> other = points.stream()
                    .map(p -> new Fit.Point(p.x(), 1 + 1.5 * p.y()))
                    .toList();
            Capacity changed =
                    held.withSlopes(List.of(new Slope(s.id(), s.what(), s.unit(), s.per(), other, s.command())));
            assertNotEquals(page, new Page(changed).fill(page), s.id());
        }
    }

    @Test
    void everySlopeNamesItsCommand() throws IOException, BadFileException {
        for (Slope s : CapacityFile.read(FILE).slopes()) {
            assertTrue(
                    s.command().startsWith("bench capacity")
                            || s.command().startsWith("emulate")
                            || s.command().startsWith("kit "),
                    s.id() + ": " + s.command());
            assertTrue(
                    s.points().isEmpty()
                            ? Files.readString(PAGE).contains("| not measured | - | - |")
                            : s.points().size() >= Fit.MIN_SIZES,
                    s.id());
        }
    }

    @Test
    void valueFromAConstantEqualsThatConstant() throws BadFileException {
        List<Row.Cell> silences = CapacityFile.read(FILE).rows().stream()
                .flatMap(r -> r.cells().stream())
                .filter(c -> "Wire.SILENCE_US".equals(c.source()))
                .toList();
        assertTrue(!silences.isEmpty());
        silences.forEach(c -> assertEquals(Wire.WATCH_TIMEOUT_US / 1e6, c.given()));
    }

    @Test
    void writesBackWhatItRead() throws IOException, BadFileException {
        Path copy = folder.resolve("copy.json");
        Capacity held = CapacityFile.read(FILE);
        CapacityFile.write(copy, held);
        assertEquals(held.estimates(), CapacityFile.read(copy).estimates());
        assertEquals(held.slopes(), CapacityFile.read(copy).slopes());
    }

    @Test
    void reportsABadFileInOneLineWithItsPosition() throws IOException {
        String good = Files.readString(FILE);
        String[][] cases = {
            {"\"hosts\":670", "\"hosts\":0", "hosts must be above 0"},
            {"\"rows\": [", "\"rows\": [\n{\"role\": 5, \"cells\": []},", "role must be a text"},
            {"\"rows\": [", "\"row\": [", "rows must be a list"},
            {"\"id\":\"lists.full.bytes\"", "\"id\":\"lists.full.other\"", "unknown slope lists.full.bytes"},
            {"\"slopes\": [", "\"slopes\": {", "expect"}
        };
        for (String[] c : cases) {
            assertTrue(good.contains(c[0]), c[0]);
            Path file = Files.writeString(folder.resolve("bad.json"), good.replace(c[0], c[1]));
            String said = assertThrows(BadFileException.class, () -> CapacityFile.read(file))
                    .getMessage();
            assertTrue(said.startsWith(file.toString()) && said.contains(c[2]) && !said.contains("\n"), said);
        }
        assertThrows(BadFileException.class, () -> CapacityFile.read(folder.resolve("none.json")));
    }
}
