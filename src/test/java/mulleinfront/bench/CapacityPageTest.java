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
    private static final List<Fit.Point> FOUR_POINTS =
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
        for (Slope slope : held.slopes()) {
            assertTrue(
                    used.contains(slope.id()) || page.contains("`" + slope.id() + "`"),
                    slope.id() + " is nowhere on the page");
            List<Fit.Point> points = slope.points().isEmpty() ? FOUR_POINTS : slope.points();
            List<Fit.Point> other = points.stream()
                    .map(p -> new Fit.Point(p.x(), 1 + 1.5 * p.y()))
                    .toList();
            Capacity changed = held.withSlopes(
                    List.of(new Slope(slope.id(), slope.what(), slope.unit(), slope.per(), other, slope.command())));
            assertNotEquals(page, new Page(changed).fill(page), slope.id());
        }
    }

    @Test
    void everySlopeNamesItsCommand() throws IOException, BadFileException {
        for (Slope slope : CapacityFile.read(FILE).slopes()) {
            assertTrue(
                    slope.command().startsWith("bench capacity")
                            || slope.command().startsWith("emulate")
                            || slope.command().startsWith("kit "),
                    slope.id() + ": " + slope.command());
            assertTrue(
                    slope.points().isEmpty()
                            ? Files.readString(PAGE).contains("| not measured | - | - |")
                            : slope.points().size() >= Fit.MIN_SIZES,
                    slope.id());
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
            {"\"rows\": [", "\"rows\": [\n{\"role\": 5, \"cells\": []},", "role must be a string"},
            {"\"rows\": [", "\"row\": [", "rows must be an array"},
            {"\"id\":\"lists.full.bytes\"", "\"id\":\"lists.full.other\"", "unknown slope lists.full.bytes"},
            {"\"slopes\": [", "\"slopes\": {", "expect"}
        };
        for (String[] badCase : cases) {
            assertTrue(good.contains(badCase[0]), badCase[0]);
            Path file = Files.writeString(folder.resolve("bad.json"), good.replace(badCase[0], badCase[1]));
            String message = assertThrows(BadFileException.class, () -> CapacityFile.read(file))
                    .getMessage();
            assertTrue(
                    message.startsWith(file.toString()) && message.contains(badCase[2]) && !message.contains("\n"),
                    message);
        }
        assertThrows(BadFileException.class, () -> CapacityFile.read(folder.resolve("none.json")));
    }
}
