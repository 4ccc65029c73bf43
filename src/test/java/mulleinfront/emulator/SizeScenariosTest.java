package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import mulleinfront.settings.BadFileException;
import org.junit.jupiter.api.Test;

/** The size as data, with all hosts in one service: one world, and a scenario for each of the faults that the page has rows for. */
class SizeScenariosTest {
    private static final Path FOLDER = Path.of("scenarios/size/one-service");

    @Test
    void allStandOnTheOneWorldOfTheSize() throws IOException, BadFileException {
        List<Path> files = new ArrayList<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(FOLDER, "*.toml")) {
            all.forEach(files::add);
        }
        assertTrue(files.size() >= 9, files.toString());
        for (Path file : files) {
            Scenario s = ScenarioReader.read(file);
            assertEquals(670, s.fleet(), file.toString());
            assertEquals(670, s.proxies().count(), file.toString());
            assertEquals(5, s.zones().size(), file.toString());
            assertEquals(40_000, s.load().perSecond(), 1e-9, file.toString());
            assertEquals(file.endsWith("world.toml"), s.faults().isEmpty(), file.toString());
        }
    }
}
