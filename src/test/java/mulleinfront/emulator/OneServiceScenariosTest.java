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

/**
 * The scenarios of {@code scenarios/size/one-service}, with all servers in one service: a base file without faults, and
 * a file for each fault.
 */
class OneServiceScenariosTest {
    private static final Path FOLDER = Path.of("scenarios/size/one-service");

    @Test
    void allScenariosHaveTheFullSize() throws IOException, BadFileException {
        List<Path> files = new ArrayList<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(FOLDER, "*.toml")) {
            all.forEach(files::add);
        }
        assertTrue(files.size() >= 9, files.toString());
        for (Path file : files) {
            Scenario scenario = ScenarioReader.read(file);
            assertEquals(670, scenario.serverCount(), file.toString());
            assertEquals(670, scenario.proxies().count(), file.toString());
            assertEquals(5, scenario.zones().size(), file.toString());
            assertEquals(40_000, scenario.load().perSecond(), 1e-9, file.toString());
            assertEquals(file.endsWith("world.toml"), scenario.faults().isEmpty(), file.toString());
        }
    }
}
